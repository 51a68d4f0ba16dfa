"""Parts of the status report that are common to both roles."""

from collections.abc import Iterable
from typing import Any

from dragonflyshift._internal.config.evacuation import EvacuationLog
from dragonflyshift._internal.models import MemberRecord


def describe_members(records: Iterable[MemberRecord]) -> list[dict[str, Any]]:
    """Return a JSON object for each member record."""
    return [
        {
            'address': str(record.address),
            'state': record.state.name.lower(),
            'boot': record.incarnation.boot,
            'epoch': record.incarnation.epoch,
            'free_slots': record.free_slots,
            'queued': record.queued,
        }
        for record in records
    ]


def describe_evacuations(evacuations: EvacuationLog) -> list[dict[str, Any]]:
    """Return a JSON object for each evacuated data centre."""
    return [
        {'data_center': name, 'sidecars': evacuations.sidecars(name)}
        for name in sorted(evacuations.data_centers)
    ]
