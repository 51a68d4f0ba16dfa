"""Ways that were weighed against the chosen policies, as plug-ins."""

import random
from collections.abc import Sequence

from dragonflyshift._internal.limits import AdaptiveAdmission, Ticket
from dragonflyshift._internal.limits.queue import DeadlineQueue
from dragonflyshift._internal.models import MemberRecord, MemberState
from dragonflyshift._internal.routing import PowerOfTwo


def _alive(peers: Sequence[MemberRecord]) -> list[MemberRecord]:
    return [peer for peer in peers if peer.state is MemberState.ALIVE]


def _room(peer: MemberRecord) -> int:
    return peer.free_slots - peer.queued


class BestOfAll(PowerOfTwo, name='best-of-all'):
    """Ask the peer that was freest when the view was taken."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Sort by room."""
        ordered = sorted(_alive(peers), key=_room, reverse=True)
        return tuple(ordered[:limit])


class RandomPeers(PowerOfTwo, name='random'):
    """Ask any peer."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Shuffle."""
        alive = _alive(peers)
        rng.shuffle(alive)
        return tuple(alive[:limit])


class PowerOfThree(PowerOfTwo, name='power-of-three'):
    """Take the freest of three random peers, again and again."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Sample and take the best until the limit."""
        left = _alive(peers)
        ordered: list[MemberRecord] = []
        while left and len(ordered) < limit:
            best = max(rng.sample(left, min(3, len(left))), key=_room)
            left.remove(best)
            ordered.append(best)
        return tuple(ordered)


class _ArrivalQueue(DeadlineQueue):
    """First come, first served."""

    def ahead_of(self, now: float, deadline: float) -> int:
        """Count all that wait."""
        return self.waiting(now)

    def earliest(self, now: float) -> Ticket | None:
        """Return the oldest that can meet its deadline."""
        waiting = (each for each in self._tickets if each.deadline > now)
        return next(waiting, None)


class OnlyWhenFull(PowerOfTwo, name='only-when-full'):
    """Run every request here while a slot is free."""

    def choose_freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Return no peer."""
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
        """Exchange the queue."""
        super().__init__(slots, queue_limit, slow_start, now)
        self._queue = _ArrivalQueue(queue_limit)
