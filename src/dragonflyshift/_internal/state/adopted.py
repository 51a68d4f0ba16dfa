"""Outcomes adopted from homes that have stopped."""

__all__ = (
    'AdoptedHome',
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
_Life = tuple[Address, int]


@frozen
class Stored:
    """The request has ended."""

    outcome: Outcome


@frozen
class NeverRan:
    """The request has not run, and its home will not run it any more."""


@frozen
class AdoptedHome:
    """All that one life of a home left, as it can be handed on."""

    home: Address
    boot: int
    entries: tuple[StoredEntry, ...]
    floor: int


@frozen
class TransferPart:
    """The place of a message in a transfer, which a random number names."""

    transfer: int
    number: int

    @property
    def next(self) -> Self:
        """The part that follows."""
        return evolve(self, number=self.number + 1)


@define(eq=False)
class _StoppedHome:
    """What one life of a home left; floor and completeness only rise."""

    entries: dict[int, StoredEntry] = field(factory=dict)
    size: int = 0
    complete: bool = False
    floor: int = 0
    adopted_at: float = 0
    next_part: TransferPart | None = None

    def follows(self, part: TransferPart) -> bool:
        """Tell whether no part of its transfer is missing so far."""
        in_order = part.number == 0 or part == self.next_part
        self.next_part = part.next if in_order else None
        return in_order

    def adopt(self, entry: StoredEntry) -> None:
        """Take an outcome, unless a surer one is known."""
        known = self.entries.get(entry.key.nonce)
        if known is not None:
            if entry.outcome.kind is OutcomeKind.UNKNOWN:
                return
            self.size -= known.outcome.size
        self.entries[entry.key.nonce] = entry
        self.size += entry.outcome.size


class AdoptedOutcomes:
    """Outcomes of stopped homes, each forgotten as a whole.

    What is forgotten is unknown again, never "not run".
    """

    def __init__(self, capacity: int, retention: float) -> None:
        """Keep at most ``capacity`` outcomes for ``retention`` seconds."""
        self._capacity = capacity
        self._retention = retention
        # In the order of adoption, so the first is the first to expire.
        self._homes: OrderedDict[_Life, _StoppedHome] = OrderedDict()

    def adopt(
        self,
        life: _Life,
        entries: tuple[StoredEntry, ...],
        *,
        complete: bool,
        floor: int,
        part: TransferPart,
        now: float,
    ) -> None:
        """Take one part of a home's transfer; ``complete`` with the last.

        A home that was forgotten in the midst of it stays incomplete.
        """
        home = self._homes.setdefault(life, _StoppedHome())
        self._homes.move_to_end(life)
        for entry in entries:
            if (entry.key.home, entry.key.boot) == life:
                home.adopt(entry)
        home.floor = max(home.floor, floor)
        whole = home.follows(part) and complete
        home.complete = home.complete or whole
        home.adopted_at = now
        self._expire(now)

    def lookup(
        self,
        key: IdempotencyKey,
        now: float,
    ) -> Stored | NeverRan | None:
        """Return what the key's home said of it; None if unknown."""
        self._expire(now)
        home = self._homes.get((key.home, key.boot))
        if home is None:
            return None
        entry = home.entries.get(key.nonce)
        if entry is not None:
            return Stored(entry.outcome)
        if home.complete and key.nonce >= home.floor:
            return NeverRan()
        return None

    def homes(self) -> tuple[AdoptedHome, ...]:
        """Return the homes whose transfer is complete."""
        return tuple(
            AdoptedHome(
                *life,
                entries=tuple(home.entries.values()),
                floor=home.floor,
            )
            for life, home in self._homes.items()
            if home.complete
        )

    def _expire(self, now: float) -> None:
        while self._homes:
            oldest = next(iter(self._homes.values()))
            fresh = oldest.adopted_at + self._retention > now
            if fresh and self._fits():
                return
            self._homes.popitem(last=False)

    def _fits(self) -> bool:
        homes = self._homes.values()
        count = sum(len(home.entries) for home in homes)
        size = sum(home.size for home in homes)
        return count <= self._capacity and size <= TOTAL_LIMIT_BYTES
