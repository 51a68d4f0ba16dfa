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

    def relieve(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        free_slots: int,
    ) -> MemberRecord | None:
        """Return the freer of two random peers with more room than here.

        A long request holds a slot for minutes or hours, so the hop to a
        peer costs little against the balance that it brings.
        """
        freer = [
            peer
            for peer in peers
            if peer.state is MemberState.ALIVE and _room(peer) > free_slots
        ]
        if not freer:
            return None
        rng.shuffle(freer)
        return _take_freer(freer)


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
