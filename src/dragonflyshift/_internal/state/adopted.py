"""Outcomes adopted from homes that have stopped."""

__all__ = ('AdoptedOutcomes', 'NeverRan', 'Stored')

from collections import OrderedDict

from attrs import define, field, frozen

from dragonflyshift._internal.models import (
    Address,
    IdempotencyKey,
    Outcome,
    OutcomeKind,
    StoredEntry,
)

_Life = tuple[Address, int]


@frozen
class Stored:
    """The request has ended."""

    outcome: Outcome


@frozen
class NeverRan:
    """The request has not run, and its home will not run it any more."""


@define(eq=False)
class _StoppedHome:
    """What one life of a home left; floor and completeness only rise."""

    outcomes: dict[int, Outcome] = field(factory=dict)
    complete: bool = False
    floor: int = 0
    adopted_at: float = 0

    def adopt(self, entry: StoredEntry) -> None:
        """Take an outcome, unless a surer one is known."""
        nonce = entry.key.nonce
        if entry.outcome.kind is OutcomeKind.UNKNOWN:
            self.outcomes.setdefault(nonce, entry.outcome)
            return
        self.outcomes[nonce] = entry.outcome


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

    def __len__(self) -> int:
        """Return the number of outcomes."""
        return sum(len(home.outcomes) for home in self._homes.values())

    def adopt(
        self,
        life: _Life,
        entries: tuple[StoredEntry, ...],
        *,
        complete: bool,
        floor: int,
        now: float,
    ) -> None:
        """Take one part of a home's transfer; ``complete`` with the last."""
        home = self._homes.setdefault(life, _StoppedHome())
        self._homes.move_to_end(life)
        for entry in entries:
            if (entry.key.home, entry.key.boot) == life:
                home.adopt(entry)
        home.floor = max(home.floor, floor)
        home.complete = home.complete or complete
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
        outcome = home.outcomes.get(key.nonce)
        if outcome is not None:
            return Stored(outcome)
        if home.complete and key.nonce >= home.floor:
            return NeverRan()
        return None

    def _expire(self, now: float) -> None:
        while self._homes:
            oldest = next(iter(self._homes.values()))
            fresh = oldest.adopted_at + self._retention > now
            if fresh and len(self) <= self._capacity:
                return
            self._homes.popitem(last=False)
