"""Which peers a full sidecar asks to run a request."""

import random
from collections.abc import Sequence

from dragonflyshift._internal.models import MemberRecord, MemberState
from dragonflyshift._internal.routing.base import PeerChoice


class PowerOfTwo(PeerChoice, name='power-of-two'):
    """Take the freer one of two random peers, again and again.

    The view of the peers' load is always a little old. If all sidecars asked
    the peer that was freest then, they would ask the same one together; the
    random pairs spread them.
    """

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return at most ``limit`` peers worth asking, best first."""
        left = [peer for peer in peers if peer.state is MemberState.ALIVE]
        rng.shuffle(left)
        ordered: list[MemberRecord] = []
        while left and len(ordered) < limit:
            ordered.append(_take_freer(left))
        return tuple(ordered)

    def freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Return the freer one of two random peers if it has more room.

        Flows are pinned and differ in their rates, so without this an
        endpoint with busy flows works more than its peers long before it is
        full.
        """
        if own_free <= 0:
            return ()
        freer = [peer for peer in peers if _room(peer) > own_free]
        return self.order(freer, rng, 1)


def _take_freer(shuffled: list[MemberRecord]) -> MemberRecord:
    """Remove and return the freer of the last two."""
    last = shuffled.pop()
    if not shuffled or _room(last) >= _room(shuffled[-1]):
        return last
    freer = shuffled.pop()
    # The other one goes to the front, so that it meets a new pair later.
    shuffled.insert(0, last)
    return freer


def _room(peer: MemberRecord) -> int:
    return peer.free_slots - peer.queued
