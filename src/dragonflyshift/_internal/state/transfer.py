"""Cut a home's outcomes into messages for its peers."""

__all__ = ('transfer_parts',)

import secrets
from collections.abc import Iterator

from dragonflyshift._internal.models import Address, StoredEntry
from dragonflyshift._internal.wire.messages import OutcomeTransfer

PART_BYTES = 64 * 1024
# Key, status and lengths around the bytes of an outcome.
_ENTRY_COST_BYTES = 128
_HEADER_COST_BYTES = 10
_TRANSFER_BITS = 63


def transfer_parts(
    home: Address,
    boot: int,
    entries: tuple[StoredEntry, ...],
    floor: int,
) -> Iterator[OutcomeTransfer]:
    """Yield messages that fit a frame; the last one is marked complete.

    Take ``entries`` and ``floor`` from a frozen table.
    """
    chunks = tuple(_cut(entries))
    transfer = secrets.randbits(_TRANSFER_BITS)
    for part, chunk in enumerate(chunks):
        yield OutcomeTransfer(
            home,
            boot,
            chunk,
            complete=part == len(chunks) - 1,
            floor=floor,
            transfer=transfer,
            part=part,
        )


def _cut(
    entries: tuple[StoredEntry, ...],
) -> Iterator[tuple[StoredEntry, ...]]:
    chunk: list[StoredEntry] = []
    size = 0
    for entry in entries:
        cost = _cost(entry)
        if chunk and size + cost > PART_BYTES:
            yield tuple(chunk)
            chunk = []
            size = 0
        chunk.append(entry)
        size += cost
    yield tuple(chunk)


def _cost(entry: StoredEntry) -> int:
    framing = len(entry.outcome.headers) * _HEADER_COST_BYTES
    return entry.outcome.size + framing + _ENTRY_COST_BYTES
