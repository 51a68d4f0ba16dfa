"""Parts of status reports that both roles share."""

from collections.abc import Iterable
from typing import Any

from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.models import MemberRecord
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key


def describe_versions(store: ConfigurationStore) -> dict[str, int]:
    """Return the version in force of each document."""
    keys = [INDEX_KEY]
    if store.index is not None:
        keys.extend(service_key(item.name) for item in store.index.services)
    versions = {key: store.version(key) for key in keys}
    return {key: version for key, version in versions.items() if version}


def describe_members(records: Iterable[MemberRecord]) -> list[dict[str, Any]]:
    """Return one JSON object for each member."""
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
