"""Outcomes adopted from key owners that have stopped.

A key owner is one process lifetime of a sidecar, identified by the address and
the boot number of the sidecar.
"""

__all__ = (
    'AdoptedOwner',
    'AdoptedOutcomes',
    'NeverRan',
    'Stored',
    'TransferPart',
)

from collections import OrderedDict
from typing import Self

from attrs import define, evolve, field, frozen

from dragonflyshift._internal.models import (
    Address,
    IdempotencyKey,
    Outcome,
    OutcomeKind,
    StoredEntry,
)

TOTAL_LIMIT_BYTES = 32 * 1024 * 1024
_OwnerId = tuple[Address, int]


@frozen
class Stored:
    """The outcome of the request is stored."""

    outcome: Outcome


@frozen
class NeverRan:
    """The request has not run, and its key owner no longer runs requests."""


@frozen
class AdoptedOwner:
    """The outcomes of a stopped key owner, for a transfer to other peers.

    No key with a nonce of at least ``floor`` has run unless it is in
    ``entries``. A key below ``floor`` may have run.
    """

    address: Address
    boot: int
    entries: tuple[StoredEntry, ...]
    floor: int


@frozen
class TransferPart:
    """The number of a message within a transfer.

    ``transfer`` is a random number that identifies the transfer. Parts are
    numbered from 0.
    """

    transfer: int
    number: int

    @property
    def next(self) -> Self:
        """The next part of the same transfer."""
        return evolve(self, number=self.number + 1)


@define(eq=False)
class _StoppedOwner:
    """The adopted outcomes of one key owner.

    ``floor`` never decreases, and ``complete`` is never reset.
    """

    entries: dict[int, StoredEntry] = field(factory=dict)
    size: int = 0
    complete: bool = False
    floor: int = 0
    adopted_at: float = 0
    next_part: TransferPart | None = None

    def accept_part(self, part: TransferPart) -> bool:
        """Record a part; return whether all parts up to it were received."""
        in_order = part.number == 0 or part == self.next_part
        self.next_part = part.next if in_order else None
        return in_order

    def adopt(self, entry: StoredEntry) -> None:
        """Store an outcome; an unknown one doesn't replace a stored one."""
        previous = self.entries.get(entry.key.nonce)
        if previous is not None:
            if entry.outcome.kind is OutcomeKind.UNKNOWN:
                return
            self.size -= previous.outcome.size
        self.entries[entry.key.nonce] = entry
        self.size += entry.outcome.size


class AdoptedOutcomes:
    """Outcomes of stopped key owners.

    All outcomes of a key owner are evicted together. The result for an
    evicted key is unknown, never "not run".
    """

    def __init__(self, capacity: int, retention: float) -> None:
        """Keep at most ``capacity`` outcomes for ``retention`` seconds."""
        self._capacity = capacity
        self._retention = retention
        # Ordered by the last adopted part, so the first owner expires first.
        self._owners: OrderedDict[_OwnerId, _StoppedOwner] = OrderedDict()

    def adopt(
        self,
        owner_id: _OwnerId,
        entries: tuple[StoredEntry, ...],
        *,
        complete: bool,
        floor: int,
        part: TransferPart,
        now: float,
    ) -> None:
        """Store one part of a transfer; ``complete`` marks the last part.

        A key owner whose outcomes are evicted during the transfer stays
        incomplete.
        """
        owner = self._owners.setdefault(owner_id, _StoppedOwner())
        self._owners.move_to_end(owner_id)
        for entry in entries:
            if (entry.key.home, entry.key.boot) == owner_id:
                owner.adopt(entry)
        owner.floor = max(owner.floor, floor)
        all_received = owner.accept_part(part) and complete
        owner.complete = owner.complete or all_received
        owner.adopted_at = now
        self._evict(now)

    def find(
        self,
        key: IdempotencyKey,
        now: float,
    ) -> Stored | NeverRan | None:
        """Return what is known of a key; None if nothing is known."""
        self._evict(now)
        owner = self._owners.get((key.home, key.boot))
        if owner is None:
            return None
        entry = owner.entries.get(key.nonce)
        if entry is not None:
            return Stored(entry.outcome)
        if owner.complete and key.nonce >= owner.floor:
            return NeverRan()
        return None

    def owners(self) -> tuple[AdoptedOwner, ...]:
        """Return the key owners whose transfer is complete."""
        return tuple(
            AdoptedOwner(
                *owner_id,
                entries=tuple(owner.entries.values()),
                floor=owner.floor,
            )
            for owner_id, owner in self._owners.items()
            if owner.complete
        )

    def _evict(self, now: float) -> None:
        while self._owners:
            oldest = next(iter(self._owners.values()))
            fresh = oldest.adopted_at + self._retention > now
            if fresh and self._fits():
                return
            self._owners.popitem(last=False)

    def _fits(self) -> bool:
        owners = self._owners.values()
        count = sum(len(owner.entries) for owner in owners)
        size = sum(owner.size for owner in owners)
        return count <= self._capacity and size <= TOTAL_LIMIT_BYTES
