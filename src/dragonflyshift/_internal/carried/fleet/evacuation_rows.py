"""Encoding of evacuations among the removals of notices and pulls.

Daemons of the build before accept no further fields, but they keep the removals
of endpoints that they don't list and pass them on. An evacuation is therefore
sent as the removal of an endpoint with a reserved name.

Other writers may register entries under any name, and the build before passes
the names of their entries on as removals. A row of an evacuation therefore
carries a negative number, which no revision of the store is. The same request
follows in the form of the build before, for daemons of that build. Such a row
is only a claim to this build, as it may stem from a foreign entry.
"""

__all__ = (
    'RemovalRow',
    'encode_evacuations',
    'endpoint_name',
    'find_claims',
    'split_removals',
)

from collections.abc import Iterable

from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)

RemovalRow = tuple[str, int]

_RESERVED = '\x01'
# An endpoint whose identifier begins with the reserved character.
_ESCAPE = '\x01id:'
_EVACUATED = '\x01operator-evacuated:'
_IN_SERVICE = '\x01operator-in-service:'
# The form of the build before.
_CLAIMED_EVACUATED = '\x01evacuated:'
_CLAIMED_IN_SERVICE = '\x01in-service:'


def endpoint_name(identifier: str) -> str:
    """Return the name under which daemons know an endpoint.

    It equals the identifier unless that begins with the reserved character.

    Example:
        >>> endpoint_name('lists-1')
        'lists-1'
        >>> endpoint_name('\x01lists')
        '\x01id:\x01lists'
    """
    if identifier.startswith(_RESERVED):
        return _ESCAPE + identifier
    return identifier


def encode_evacuations(
    records: Iterable[EvacuationRecord],
) -> tuple[RemovalRow, ...]:
    """Return evacuations as removals with reserved names, in both forms."""
    rows: list[RemovalRow] = []
    for record in records:
        present, former = (
            (_EVACUATED, _CLAIMED_EVACUATED)
            if record.is_evacuated
            else (_IN_SERVICE, _CLAIMED_IN_SERVICE)
        )
        rows += (
            (present + record.data_center, ~record.revision),
            (former + record.data_center, record.revision),
        )
    return tuple(rows)


def split_removals(
    rows: Iterable[RemovalRow],
) -> tuple[tuple[RemovalRow, ...], tuple[EvacuationRecord, ...]]:
    """Return the removals of endpoints and the evacuations among the rows.

    Claims and reserved names that this build doesn't know are dropped.
    """
    removed: list[RemovalRow] = []
    evacuations: list[EvacuationRecord] = []
    for name, number in rows:
        if number >= 0:
            if not name.startswith(_RESERVED) or name.startswith(_ESCAPE):
                removed.append((name, number))
            continue
        record = _parse(name, ~number, _EVACUATED, _IN_SERVICE)
        if record is not None:
            evacuations.append(record)
    return tuple(removed), tuple(evacuations)


def find_claims(rows: Iterable[RemovalRow]) -> tuple[EvacuationRecord, ...]:
    """Return the requests among the rows that a foreign entry may have made."""
    claims = (
        _parse(name, number, _CLAIMED_EVACUATED, _CLAIMED_IN_SERVICE)
        for name, number in rows
        if number >= 0
    )
    return tuple(claim for claim in claims if claim is not None)


def _parse(
    name: str, revision: int, evacuated: str, in_service: str
) -> EvacuationRecord | None:
    for prefix in (evacuated, in_service):
        if name.startswith(prefix):
            return EvacuationRecord(
                name.removeprefix(prefix), revision, prefix == evacuated
            )
    return None
