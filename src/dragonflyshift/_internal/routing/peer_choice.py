"""The choice of the peers at which a sidecar claims a slot."""

import random
from collections.abc import Sequence

from dragonflyshift._internal.models import MemberRecord, MemberState
from dragonflyshift._internal.routing.base import PeerChoice


class PowerOfTwo(PeerChoice, name='power-of-two'):
    """Repeatedly takes the peer with more spare slots of a random pair.

    The reported load of the peers is always slightly out of date. If every
    sidecar chose the peer with the most spare slots, all of them would choose
    the same one; random pairs spread the choice.
    """

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return at most ``limit`` peers to claim a slot at, best first."""
        remaining = [peer for peer in peers if peer.state is MemberState.ALIVE]
        rng.shuffle(remaining)
        ordered: list[MemberRecord] = []
        while remaining and len(ordered) < limit:
            ordered.append(_pop_freer(remaining))
        return tuple(ordered)

    def choose_freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Return a peer with more spare slots than ``own_free``, if any.

        It is the freer one of a random pair of such peers.

        Flows are pinned to sidecars and differ in their request rates, so
        without this an endpoint with busy flows would have a higher load than
        its peers long before it is full.
        """
        if own_free <= 0:
            return ()
        freer_peers = [peer for peer in peers if _spare_slots(peer) > own_free]
        return self.order(freer_peers, rng, 1)


def _pop_freer(shuffled: list[MemberRecord]) -> MemberRecord:
    """Remove and return the one of the last two with more spare slots."""
    last = shuffled.pop()
    if not shuffled or _spare_slots(last) >= _spare_slots(shuffled[-1]):
        return last
    freer = shuffled.pop()
    # The other peer moves to the front, so that it is paired again later.
    shuffled.insert(0, last)
    return freer


def _spare_slots(peer: MemberRecord) -> int:
    return peer.free_slots - peer.queued
