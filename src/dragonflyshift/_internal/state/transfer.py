"""Cut a home's outcomes into messages for its peers."""

__all__ = ('transfer_parts',)

from collections.abc import Iterator

from dragonflyshift._internal.models import Address, StoredEntry
from dragonflyshift._internal.wire.messages import OutcomeTransfer

PART_BYTES = 512 * 1024
# Key, status and lengths around the bytes of an outcome.
_ENTRY_COST_BYTES = 128
_HEADER_COST_BYTES = 10


def transfer_parts(
    home: Address,
    boot: int,
    entries: tuple[StoredEntry, ...],
    floor: int,
) -> Iterator[OutcomeTransfer]:
    """Yield messages that fit a frame; the last one is marked complete.

    Take ``entries`` and ``floor`` from a frozen table.
    """
    part: list[StoredEntry] = []
    size = 0
    for entry in entries:
        cost = _cost(entry)
        if part and size + cost > PART_BYTES:
            yield OutcomeTransfer(
                home, boot, tuple(part), complete=False, floor=floor
            )
            part = []
            size = 0
        part.append(entry)
        size += cost
    yield OutcomeTransfer(home, boot, tuple(part), complete=True, floor=floor)


def _cost(entry: StoredEntry) -> int:
    headers = sum(
        len(name) + len(text) + _HEADER_COST_BYTES
        for name, text in entry.outcome.headers
    )
    return len(entry.outcome.body) + headers + _ENTRY_COST_BYTES
