"""Splitting the outcomes of a key owner into messages for its peers."""

__all__ = ('transfer_parts',)

import secrets
from collections.abc import Iterator

from dragonflyshift._internal.models import Address, StoredEntry
from dragonflyshift._internal.wire.messages import OutcomeTransfer

PART_BYTES = 64 * 1024
# Space for the encoded key, status and lengths of an outcome.
_ENTRY_OVERHEAD_BYTES = 128
_HEADER_OVERHEAD_BYTES = 10
_TRANSFER_BITS = 63


def transfer_parts(
    owner: Address,
    boot: int,
    entries: tuple[StoredEntry, ...],
    floor: int,
) -> Iterator[OutcomeTransfer]:
    """Yield messages that fit into a frame; the last is marked complete.

    ``entries`` and ``floor`` have to come from a frozen table.
    """
    chunks = tuple(_split(entries))
    transfer = secrets.randbits(_TRANSFER_BITS)
    for part, chunk in enumerate(chunks):
        yield OutcomeTransfer(
            owner,
            boot,
            chunk,
            complete=part == len(chunks) - 1,
            floor=floor,
            transfer=transfer,
            part=part,
        )


def _split(
    entries: tuple[StoredEntry, ...],
) -> Iterator[tuple[StoredEntry, ...]]:
    chunk: list[StoredEntry] = []
    size = 0
    for entry in entries:
        entry_size = _encoded_size(entry)
        if chunk and size + entry_size > PART_BYTES:
            yield tuple(chunk)
            chunk = []
            size = 0
        chunk.append(entry)
        size += entry_size
    yield tuple(chunk)


def _encoded_size(entry: StoredEntry) -> int:
    overhead = len(entry.outcome.headers) * _HEADER_OVERHEAD_BYTES
    return entry.outcome.size + overhead + _ENTRY_OVERHEAD_BYTES
