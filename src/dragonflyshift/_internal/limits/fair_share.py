"""Admission that divides a backend server fairly between client addresses.

It suits services with less capacity than demand, where one client address
sends most of the requests over many flows.
"""

import math
from collections.abc import Callable

from dragonflyshift._internal.carried.policies.account_shares import (
    AccountShares,
)
from dragonflyshift._internal.limits.adaptive import AdaptiveAdmission
from dragonflyshift._internal.limits.base import QueueFullError, Ticket
from dragonflyshift._internal.limits.queue import DeadlineQueue

HOST_BYTES = 4
# Shares stay in force for this time after a request was refused or expired.
CONTENTION_SECONDS = 2.0


class _ShareQueue(DeadlineQueue):
    """Queue in which the requests of some clients come last."""

    def __init__(
        self, limit: int, comes_last: Callable[[float, Ticket], bool]
    ) -> None:
        super().__init__(limit)
        self._comes_last = comes_last

    def earliest(self, now: float) -> Ticket | None:
        """Return the unexpired request that is served next."""
        return min(
            self.unexpired(now),
            key=lambda ticket: (self._comes_last(now, ticket), ticket.deadline),
            default=None,
        )

    def unexpired(self, now: float) -> list[Ticket]:
        """Return the unexpired requests."""
        return [ticket for ticket in self._tickets if ticket.deadline > now]


class FairShareAdmission(AdaptiveAdmission, name='fair-share'):
    """Slots with a queue in which accounts below their shares come first.

    An account is the address of a client. Until a request is refused or
    expires, and some time after the last one did, it decides like
    ``adaptive``. In between, a request of an account below its share displaces
    the one with the latest deadline of the account with the highest use, if
    the queue would refuse it otherwise.
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        slow_start: float,
        now: float,
    ) -> None:
        """Begin slow start at ``now``; it lasts ``slow_start`` seconds."""
        super().__init__(slots, queue_limit, slow_start, now)
        self.shares = AccountShares()
        self._share_queue = _ShareQueue(queue_limit, self._comes_last)
        self._queue = self._share_queue
        # The queued requests whose admission counts as use.
        self._counted: set[Ticket] = set()
        self._contended_until = -math.inf

    def record_start(self, now: float, client: bytes) -> None:
        """Count a request that took a slot without waiting."""
        account = _account(client)
        self.shares.record_offer(now, account, weight=1)
        self.shares.record_admission(now, account)

    def enqueue(self, now: float, deadline: float, client: bytes) -> Ticket:
        """Queue a request; raise QueueFullError if it is refused."""
        account = _account(client)
        self.shares.record_offer(now, account, weight=1)
        try:
            self._check_share(now, deadline, account)
            ticket = super().enqueue(now, deadline, client)
        except QueueFullError:
            self._contended_until = now + CONTENTION_SECONDS
            displaced = self._make_room(now, deadline, account)
            if displaced is None:
                raise
            ticket = Ticket(deadline, now, client, displaces=(displaced,))
            self._queue.add(ticket)
        self.shares.record_admission(now, account)
        self._counted.add(ticket)
        return ticket

    def start_next(self, now: float) -> Ticket | None:
        """Take a slot for the next unexpired request and dequeue it."""
        ticket = super().start_next(now)
        if ticket is not None:
            self._counted.discard(ticket)
        return ticket

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the queued requests whose deadline has passed."""
        expired = super().expire(now)
        for ticket in expired:
            self._contended_until = now + CONTENTION_SECONDS
            self._cancel_admission(ticket)
        return expired

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from the queue; ignore one that isn't queued."""
        super().cancel(ticket)
        self._cancel_admission(ticket)

    def gauges(self, now: float) -> dict[str, float]:
        """Return whether shares are in force, and for how many accounts."""
        return {
            'shares.in-force': now < self._contended_until,
            'shares.accounts': len(self.shares),
            'shares.used-up': self.shares.count_at_share(now),
        }

    def _check_share(self, now: float, deadline: float, account: bytes) -> None:
        """Raise QueueFullError if requests below their shares delay it."""
        if now >= self._contended_until:
            return
        if not self.shares.is_below_share(now, account):
            below = self._count_below_share(now, math.inf)
            if self._is_late(now, deadline, below):
                raise QueueFullError(self.retry_after(now))

    def _make_room(
        self, now: float, deadline: float, account: bytes
    ) -> Ticket | None:
        """Displace and return a request, in favour of one of the account."""
        if not self.shares.is_below_share(now, account):
            return None
        victims = [
            ticket
            for ticket in self._share_queue.unexpired(now)
            if self._comes_last(now, ticket)
        ]
        ahead = self._count_below_share(now, deadline)
        if not victims or self._is_late(now, deadline, ahead):
            return None
        victim = max(
            victims,
            key=lambda ticket: (
                self.shares.relative_use(_account(ticket.client)),
                ticket.deadline,
            ),
        )
        self.cancel(victim)
        return victim

    def _count_below_share(self, now: float, deadline: float) -> int:
        """Count the requests that come first, up to a deadline."""
        return sum(
            ticket.deadline <= deadline and not self._comes_last(now, ticket)
            for ticket in self._share_queue.unexpired(now)
        )

    def _is_late(self, now: float, deadline: float, ahead: int) -> bool:
        wait = self._release_interval.estimate_wait(now, ahead)
        return deadline <= now or now + wait > deadline

    def _comes_last(self, now: float, ticket: Ticket) -> bool:
        """Return whether shares are in force and a request's is used up."""
        return now < self._contended_until and not self.shares.is_below_share(
            now, _account(ticket.client)
        )

    def _cancel_admission(self, ticket: Ticket) -> None:
        if ticket in self._counted:
            self._counted.discard(ticket)
            self.shares.cancel_admission(
                ticket.enqueued_at, _account(ticket.client)
            )


def _account(client: bytes) -> bytes:
    """Return the address of a client, with which its identity begins."""
    return client[:HOST_BYTES]
