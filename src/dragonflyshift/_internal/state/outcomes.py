"""The outcome table of a home: each key runs at most once.

A home is one life of a sidecar. It issues keys with nonces that count up, and
it alone runs requests under them. Rules, for a key of this home:

- an entry exists: the request runs or has ended; nothing begins;
- no entry, nonce below the floor: fenced. Whoever drops an entry raises the
  floor above its nonce first, so a dropped key is never run again;
- no entry, nonce above those issued: refused;
- else the request begins, unless the table is frozen for a planned stop.

An entry is dropped only ``retention`` seconds after its end. So a key whose
entry is gone, or that fell below the floor unused, is older than that.
"""

__all__ = (
    'Begun',
    'Fenced',
    'NeverRan',
    'OutcomeTable',
    'OutcomeTableFullError',
    'Running',
    'Stored',
    'without_body',
)

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from dragonflyshift._internal.exceptions import StateError
from dragonflyshift._internal.models import (
    Address,
    IdempotencyKey,
    Outcome,
    OutcomeKind,
    StoredEntry,
)
from dragonflyshift._internal.state.adopted import (
    AdoptedHome,
    AdoptedOutcomes,
    NeverRan,
    Stored,
    TransferPart,
)

BODY_LIMIT_BYTES = 64 * 1024
TOTAL_LIMIT_BYTES = 16 * 1024 * 1024
FULL_RETRY_S = 1.0
BODY_OMITTED = (b'dragonflyshift-stored-body', b'omitted')
_UNKNOWN = Outcome(OutcomeKind.UNKNOWN, 0)


@define(eq=False)
class _Entry:
    key: IdempotencyKey
    outcome: Outcome | None = None
    ended_at: float = 0
    ended: asyncio.Event = field(factory=asyncio.Event)


@frozen
class Begun:
    """The caller runs the request and then calls ``finish``."""


@frozen(eq=False)
class Running:
    """Another caller runs the request."""

    _entry: _Entry

    async def wait(self) -> Outcome:
        """Return the outcome once it is there."""
        await self._entry.ended.wait()
        return self._entry.outcome or _UNKNOWN


@frozen
class Fenced:
    """The key is older than the retention: it may have run."""


Beginning = Begun | Running | Stored | Fenced | NeverRan


class OutcomeTableFullError(StateError):
    """No room for another outcome; the request has not run.

    ``retry_after`` says in how many seconds there should be room.
    """

    def __init__(self, retry_after: float) -> None:
        """Keep the time to come back."""
        super().__init__('outcome table is full')
        self.retry_after = retry_after


class OutcomeTable:
    """Outcomes of one home, and those adopted from peers that stopped."""

    def __init__(
        self,
        capacity: int,
        retention: float,
        *,
        home: Address,
        boot: int,
        issued: Callable[[], int],
    ) -> None:
        """Keep at most ``capacity`` outcomes for ``retention`` seconds each.

        ``issued`` returns the highest nonce issued in this life. What it
        returns now, and all below, belongs to no key of this life.
        """
        self._capacity = capacity
        self._retention = retention
        self._home = home
        self._boot = boot
        self._issued = issued
        self._running: dict[int, _Entry] = {}
        # In the order of their ends, so the first is the first to expire.
        self._ended: OrderedDict[int, _Entry] = OrderedDict()
        self._stored_bytes = 0
        self._floor = issued() + 1
        self._frozen = False
        self._adopted = AdoptedOutcomes(capacity, retention)

    def __len__(self) -> int:
        """Return the number of entries, running ones included."""
        return len(self._running) + len(self._ended)

    @property
    def floor(self) -> int:
        """The lowest nonce that isn't fenced; fixed once frozen."""
        return self._floor

    def begin(self, key: IdempotencyKey, now: float) -> Beginning:
        """Decide what a request under ``key`` does.

        Raises StateError when this home never issued the key, and
        OutcomeTableFullError when there is no room; neither has run.
        """
        self._check_issued(key)
        known = self._find(key.nonce)
        if known is not None:
            return known
        if key.nonce < self._floor:
            return Fenced()
        if self._frozen:
            return NeverRan()
        self._make_room(now)
        if key.nonce < self._floor:
            return Fenced()
        self._running[key.nonce] = _Entry(key)
        return Begun()

    def finish(self, key: IdempotencyKey, outcome: Outcome, now: float) -> None:
        """Store the outcome of a request that began, and tell who waits.

        After NOT_RUN the key may begin once more.
        """
        entry = self._running.pop(key.nonce, None)
        if entry is None:
            raise StateError('request under this key is not running')
        entry.outcome = self._trimmed(outcome)
        entry.ended_at = now
        entry.ended.set()
        if outcome.kind is OutcomeKind.NOT_RUN:
            return
        self._stored_bytes += entry.outcome.size
        self._ended[key.nonce] = entry

    def expire(self, now: float) -> None:
        """Drop outcomes past their retention, and fence their keys."""
        while self._ended and not self._frozen:
            nonce, entry = next(iter(self._ended.items()))
            if entry.ended_at + self._retention > now:
                return
            self._floor = max(self._floor, nonce + 1)
            del self._ended[nonce]
            self._stored_bytes -= (entry.outcome or _UNKNOWN).size

    def freeze(self) -> tuple[StoredEntry, ...]:
        """Begin nothing from now on, and return what the home knows.

        A request that still runs is listed as unknown. Call again once it
        has ended; peers take the newer word.
        """
        self._frozen = True
        entries = (*self._running.values(), *self._ended.values())
        return tuple(
            StoredEntry(entry.key, entry.outcome or _UNKNOWN)
            for entry in entries
        )

    def adopt(
        self,
        home: Address,
        boot: int,
        entries: tuple[StoredEntry, ...],
        *,
        complete: bool,
        floor: int,
        part: TransferPart,
        now: float,
    ) -> None:
        """Take over what a home that stops has sent."""
        self._adopted.adopt(
            (home, boot),
            entries,
            complete=complete,
            floor=floor,
            part=part,
            now=now,
        )

    def adopted_homes(self) -> tuple[AdoptedHome, ...]:
        """Return what peers that stopped left here, to be handed on."""
        return self._adopted.homes()

    def lookup_adopted(
        self,
        key: IdempotencyKey,
        now: float,
    ) -> Stored | NeverRan | None:
        """Return what a stopped home said of a key; None if unknown.

        NeverRan means that the request may be refused as not run. It must
        not run here under this key, since another peer may hold the same word.
        """
        return self._adopted.lookup(key, now)

    def _check_issued(self, key: IdempotencyKey) -> None:
        if (key.home, key.boot) != (self._home, self._boot):
            raise StateError('idempotency key is of another home')
        if key.nonce > self._issued():
            raise StateError('idempotency key was never issued')

    def _find(self, nonce: int) -> Running | Stored | None:
        running = self._running.get(nonce)
        if running is not None:
            return Running(running)
        ended = self._ended.get(nonce)
        if ended is None:
            return None
        return Stored(ended.outcome or _UNKNOWN)

    def _make_room(self, now: float) -> None:
        self.expire(now)
        if len(self) < self._capacity:
            return
        retry_after = FULL_RETRY_S
        for oldest in self._ended.values():
            retry_after = oldest.ended_at + self._retention - now
            break
        raise OutcomeTableFullError(retry_after)

    def _trimmed(self, outcome: Outcome) -> Outcome:
        room = TOTAL_LIMIT_BYTES - self._stored_bytes
        fits = outcome.size <= room
        if fits and len(outcome.body) <= BODY_LIMIT_BYTES:
            return outcome
        bare = without_body(outcome)
        if bare.size <= room:
            return bare
        return evolve(bare, headers=(BODY_OMITTED,))


def without_body(outcome: Outcome) -> Outcome:
    """Leave the body out, drop what described it, and say so in a header."""
    kept = (
        (name, text)
        for name, text in outcome.headers
        if not name.lower().startswith(b'content-')
    )
    return evolve(outcome, body=b'', headers=(BODY_OMITTED, *kept))
