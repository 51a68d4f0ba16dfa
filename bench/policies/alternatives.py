"""Alternative policies to compare with the ones in use, as plug-ins."""

import random
from collections.abc import Sequence

from dragonflyshift._internal.limits import AdaptiveAdmission, Ticket
from dragonflyshift._internal.limits.queue import DeadlineQueue
from dragonflyshift._internal.models import MemberRecord, MemberState
from dragonflyshift._internal.routing import PowerOfTwo


def _alive(peers: Sequence[MemberRecord]) -> list[MemberRecord]:
    return [peer for peer in peers if peer.state is MemberState.ALIVE]


def _spare_capacity(peer: MemberRecord) -> int:
    return peer.free_slots - peer.queued


class BestOfAll(PowerOfTwo, name='best-of-all'):
    """Order peers by spare capacity in the current view."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return up to ``limit`` live peers, most spare capacity first."""
        ordered = sorted(_alive(peers), key=_spare_capacity, reverse=True)
        return tuple(ordered[:limit])


class RandomPeers(PowerOfTwo, name='random'):
    """Order peers at random."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return up to ``limit`` live peers in random order."""
        alive = _alive(peers)
        rng.shuffle(alive)
        return tuple(alive[:limit])


class PowerOfThree(PowerOfTwo, name='power-of-three'):
    """Repeatedly select the peer with the most spare capacity of three."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return up to ``limit`` live peers, each the best of a sample."""
        left = _alive(peers)
        ordered: list[MemberRecord] = []
        while left and len(ordered) < limit:
            best = max(rng.sample(left, min(3, len(left))), key=_spare_capacity)
            left.remove(best)
            ordered.append(best)
        return tuple(ordered)


class _ArrivalQueue(DeadlineQueue):
    """A queue in order of arrival."""

    def ahead_of(self, now: float, deadline: float) -> int:
        """Return the number of waiting tickets, whatever their deadlines."""
        return self.waiting(now)

    def earliest(self, now: float) -> Ticket | None:
        """Return the oldest ticket whose deadline has not passed."""
        waiting = (each for each in self._tickets if each.deadline > now)
        return next(waiting, None)


class OnlyWhenFull(PowerOfTwo, name='only-when-full'):
    """Run every request locally while a slot is free."""

    def choose_freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Return no peers."""
        return ()


class ArrivalOrder(AdaptiveAdmission, name='adaptive-fifo'):
    """Adaptive admission that serves in order of arrival."""

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        slow_start: float,
        now: float,
    ) -> None:
        """Replace the deadline queue by one in order of arrival."""
        super().__init__(slots, queue_limit, slow_start, now)
        self._queue = _ArrivalQueue(queue_limit)
