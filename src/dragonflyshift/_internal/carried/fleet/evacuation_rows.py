"""Encoding of evacuations among the removals of notices and pulls.

Daemons of the build before accept no further fields, but they keep the removals
of endpoints that they don't list and pass them on. An evacuation is therefore
sent as the removal of an endpoint with a reserved name.
"""

__all__ = (
    'RemovalRow',
    'encode_evacuations',
    'is_reserved_name',
    'split_removals',
)

from collections.abc import Iterable

from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)

RemovalRow = tuple[str, int]

_EVACUATED_PREFIX = '\x01evacuated:'
_IN_SERVICE_PREFIX = '\x01in-service:'


def is_reserved_name(name: str) -> bool:
    """Return whether no endpoint may have this name."""
    return name.startswith('\x01')


def encode_evacuations(
    records: Iterable[EvacuationRecord],
) -> tuple[RemovalRow, ...]:
    """Return evacuations as removals with reserved names."""
    return tuple(
        (
            f'{_prefix(record)}{record.data_center}',
            record.revision,
        )
        for record in records
    )


def split_removals(
    rows: Iterable[RemovalRow],
) -> tuple[tuple[RemovalRow, ...], tuple[EvacuationRecord, ...]]:
    """Return the removals of endpoints and the evacuations among the rows.

    Reserved names that this build doesn't know are dropped.
    """
    removed: list[RemovalRow] = []
    evacuations: list[EvacuationRecord] = []
    for name, revision in rows:
        if not is_reserved_name(name):
            removed.append((name, revision))
            continue
        for prefix in (_EVACUATED_PREFIX, _IN_SERVICE_PREFIX):
            if name.startswith(prefix):
                is_evacuated = prefix == _EVACUATED_PREFIX
                data_center = name.removeprefix(prefix)
                evacuations.append(
                    EvacuationRecord(data_center, revision, is_evacuated)
                )
    return tuple(removed), tuple(evacuations)


def _prefix(record: EvacuationRecord) -> str:
    return _EVACUATED_PREFIX if record.is_evacuated else _IN_SERVICE_PREFIX
