"""What the build before does with messages, for tests of an upgrade."""

from collections.abc import Iterable

from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)

_Rows = tuple[tuple[str, int], ...]


def split_removals_before(
    rows: Iterable[tuple[str, int]],
) -> tuple[_Rows, tuple[EvacuationRecord, ...]]:
    """Return the removals and evacuations that the build before decodes."""
    removed = []
    evacuations = []
    for name, revision in rows:
        if not name.startswith('\x01'):
            removed.append((name, revision))
            continue
        for prefix in ('\x01evacuated:', '\x01in-service:'):
            if name.startswith(prefix):
                record = EvacuationRecord(
                    name.removeprefix(prefix),
                    revision,
                    prefix == '\x01evacuated:',
                )
                evacuations.append(record)
    return tuple(removed), tuple(evacuations)


def adapter_removals_before(names: Iterable[str], revision: int) -> _Rows:
    """Return the removals that its reader makes of entries that are invalid.

    It takes the names of the entries as they are.
    """
    return tuple((name, revision) for name in names)
