"""The outcome table of a key owner: each key runs at most once.

A key owner is one process lifetime of a sidecar, identified by address and boot
number. It issues keys with increasing nonces, and only it runs requests with
these keys. Rules for a key of this owner:

- If there is an entry, the request is running or has ended, and isn't started.
- If there is no entry and the nonce is below the floor, the key is fenced and
  the request is refused. The floor is raised above the nonce of an entry before
  the entry is removed, so a removed key never runs again.
- If there is no entry and the nonce is higher than any issued one, the key is
  invalid.
- Otherwise the request starts, unless the table is frozen for a planned stop.

An entry is removed ``retention`` seconds after its request ended, at the
earliest. So a key whose entry was removed, or an unused key below the floor, is
older than that.
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
    AdoptedOutcomes,
    AdoptedOwner,
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
    """The caller has to run the request and then call ``finish``."""


@frozen(eq=False)
class Running:
    """The request is already running for another caller."""

    _entry: _Entry

    async def wait(self) -> Outcome:
        """Wait for the end of the request and return its outcome."""
        await self._entry.ended.wait()
        return self._entry.outcome or _UNKNOWN


@frozen
class Fenced:
    """The key is older than the retention time; its request may have run."""


BeginResult = Begun | Running | Stored | Fenced | NeverRan


class OutcomeTableFullError(StateError):
    """The outcome table is full; the request has not run.

    ``retry_after`` is the number of seconds until an entry expires.
    """

    def __init__(self, retry_after: float) -> None:
        """Set the message and the retry time."""
        super().__init__('outcome table is full')
        self.retry_after = retry_after


class OutcomeTable:
    """Outcomes of one key owner, and those adopted from stopped peers."""

    def __init__(
        self,
        capacity: int,
        retention: float,
        *,
        owner: Address,
        boot: int,
        last_issued_nonce: Callable[[], int],
    ) -> None:
        """Keep at most ``capacity`` outcomes for ``retention`` seconds each.

        ``last_issued_nonce`` returns the last nonce issued by this owner.
        The nonce that it returns now and all lower ones belong to no key of
        this owner.
        """
        self._capacity = capacity
        self._retention = retention
        self._owner = owner
        self._boot = boot
        self._last_issued_nonce = last_issued_nonce
        self._running: dict[int, _Entry] = {}
        # Ordered by the end of the requests, so the first one expires first.
        self._ended: OrderedDict[int, _Entry] = OrderedDict()
        self._stored_bytes = 0
        self._floor = last_issued_nonce() + 1
        self._frozen = False
        self._adopted = AdoptedOutcomes(capacity, retention)

    def __len__(self) -> int:
        """Return the number of entries, those of running requests included."""
        return len(self._running) + len(self._ended)

    @property
    def floor(self) -> int:
        """The lowest nonce that isn't fenced; constant in a frozen table."""
        return self._floor

    def begin(self, key: IdempotencyKey, now: float) -> BeginResult:
        """Register the start of a request, or return why it can't start.

        A result other than ``Begun`` means that the caller must not run it.

        Raises StateError if this owner never issued the key, and
        OutcomeTableFullError if the table is full. In both cases the request
        has not run.
        """
        self._check_issued(key)
        known = self._find(key.nonce)
        if known is not None:
            return known
        if key.nonce < self._floor:
            return Fenced()
        if self._frozen:
            return NeverRan()
        self._ensure_capacity(now)
        if key.nonce < self._floor:
            return Fenced()
        self._running[key.nonce] = _Entry(key)
        return Begun()

    def finish(self, key: IdempotencyKey, outcome: Outcome, now: float) -> None:
        """Store the outcome of a running request and wake its waiters.

        After the outcome NOT_RUN, a request with the key may start again.
        Raises StateError if no request with the key is running.
        """
        entry = self._running.pop(key.nonce, None)
        if entry is None:
            raise StateError(f'no request with nonce {key.nonce} is running')
        entry.outcome = self._fit_to_limits(outcome)
        entry.ended_at = now
        entry.ended.set()
        if outcome.kind is OutcomeKind.NOT_RUN:
            return
        self._stored_bytes += entry.outcome.size
        self._ended[key.nonce] = entry

    def expire(self, now: float) -> None:
        """Remove outcomes older than the retention time; fence their keys."""
        while self._ended and not self._frozen:
            nonce, entry = next(iter(self._ended.items()))
            if entry.ended_at + self._retention > now:
                return
            self._floor = max(self._floor, nonce + 1)
            del self._ended[nonce]
            self._stored_bytes -= (entry.outcome or _UNKNOWN).size

    def freeze(self) -> tuple[StoredEntry, ...]:
        """Start no further request, and return all outcomes.

        The outcome of a running request is unknown. When it has ended, a
        second call returns its outcome, which replaces the unknown one at
        the peers.
        """
        self._frozen = True
        entries = (*self._running.values(), *self._ended.values())
        return tuple(
            StoredEntry(entry.key, entry.outcome or _UNKNOWN)
            for entry in entries
        )

    def adopt(
        self,
        owner: Address,
        boot: int,
        entries: tuple[StoredEntry, ...],
        *,
        complete: bool,
        floor: int,
        part: TransferPart,
        now: float,
    ) -> None:
        """Store one part of the outcomes of a stopping key owner."""
        self._adopted.adopt(
            (owner, boot),
            entries,
            complete=complete,
            floor=floor,
            part=part,
            now=now,
        )

    def adopted_owners(self) -> tuple[AdoptedOwner, ...]:
        """Return the complete outcomes of stopped key owners."""
        return self._adopted.owners()

    def find_adopted(
        self,
        key: IdempotencyKey,
        now: float,
    ) -> Stored | NeverRan | None:
        """Return what a stopped owner sent of a key; None if unknown.

        NeverRan means that the request may be refused as not run. It must
        not run here with this key, because other peers have the same
        information and could run it, too.
        """
        return self._adopted.find(key, now)

    def _check_issued(self, key: IdempotencyKey) -> None:
        if (key.home, key.boot) != (self._owner, self._boot):
            raise StateError('idempotency key is of another home')
        if key.nonce > self._last_issued_nonce():
            raise StateError('idempotency key was never issued')

    def _find(self, nonce: int) -> Running | Stored | None:
        running = self._running.get(nonce)
        if running is not None:
            return Running(running)
        ended = self._ended.get(nonce)
        if ended is None:
            return None
        return Stored(ended.outcome or _UNKNOWN)

    def _ensure_capacity(self, now: float) -> None:
        self.expire(now)
        if len(self) < self._capacity:
            return
        retry_after = FULL_RETRY_S
        for oldest in self._ended.values():
            retry_after = oldest.ended_at + self._retention - now
            break
        raise OutcomeTableFullError(retry_after)

    def _fit_to_limits(self, outcome: Outcome) -> Outcome:
        room = TOTAL_LIMIT_BYTES - self._stored_bytes
        fits = outcome.size <= room
        if fits and len(outcome.body) <= BODY_LIMIT_BYTES:
            return outcome
        trimmed = without_body(outcome)
        if trimmed.size <= room:
            return trimmed
        return evolve(trimmed, headers=(BODY_OMITTED,))


def without_body(outcome: Outcome) -> Outcome:
    """Remove the body and its ``content-`` headers.

    The header ``BODY_OMITTED`` is added.
    """
    kept = (
        (name, text)
        for name, text in outcome.headers
        if not name.lower().startswith(b'content-')
    )
    return evolve(outcome, body=b'', headers=(BODY_OMITTED, *kept))
