"""Tests of the flow decision and of the choice of peers.

They guard against flows at a sidecar that can't serve them, flows that are
passed on repeatedly, and sidecars that all choose the same peer.
"""

import random
import unittest
from collections import Counter

from dragonflyshift._internal.models import MemberState
from dragonflyshift._internal.routing import (
    LeastLoaded,
    LoadSnapshot,
    PowerOfTwo,
)
from tests.unit.routing.builders import build_member


def _load(
    state: MemberState = MemberState.ALIVE,
    connections: int = 0,
    free_slots: int = 1,
) -> LoadSnapshot:
    return LoadSnapshot(state, connections, 10, free_slots, queued=0)


class LeastLoadedTests(unittest.TestCase):
    def setUp(self) -> None:
        self.decision = LeastLoaded()
        self.freer_peer = build_member(2, free_slots=3)

    def test_keeps_the_flow_with_a_free_slot(self) -> None:
        self.assertTrue(self.decision.accepts(_load(), self.freer_peer, 0))

    def test_passes_the_flow_on_when_it_cannot_keep_it(self) -> None:
        for own in (
            _load(state=MemberState.LEAVING),
            _load(connections=10),
            _load(free_slots=0),
            _load(state=MemberState.COLD),
        ):
            with self.subTest(own=own):
                self.assertFalse(self.decision.accepts(own, self.freer_peer, 0))

    def test_passes_the_flow_on_to_a_dead_member_when_it_cannot_keep_it(
        self,
    ) -> None:
        """The record may be outdated; here the flow would break for certain."""
        dead_peer = build_member(2, state=MemberState.DEAD)
        for own in (_load(state=MemberState.LEAVING), _load(connections=10)):
            with self.subTest(own=own):
                self.assertFalse(self.decision.accepts(own, dead_peer, 0))

    def test_keeps_the_flow_when_the_second_is_no_better(self) -> None:
        for state in MemberState:
            free = 0 if state is MemberState.ALIVE else 3
            second = build_member(2, free_slots=free, state=state)
            with self.subTest(second=second):
                full = _load(free_slots=0)
                self.assertTrue(self.decision.accepts(full, second, 0))

    def test_keeps_a_flow_that_was_passed_on(self) -> None:
        own = _load(state=MemberState.COLD, free_slots=0)
        self.assertTrue(self.decision.accepts(own, self.freer_peer, 1))

    def test_leaving_sidecar_refuses_a_flow_that_was_passed_on(self) -> None:
        own = _load(state=MemberState.LEAVING)
        self.assertFalse(self.decision.accepts(own, None, 1))


class PowerOfTwoTests(unittest.TestCase):
    def test_only_alive_peers_within_the_limit(self) -> None:
        peers = [
            build_member(number, free_slots=3, state=state)
            for number, state in enumerate(MemberState)
        ]
        ordered = PowerOfTwo().order(peers, random.Random(1), 5)
        self.assertEqual(ordered, (peers[MemberState.ALIVE],))

    def test_limit_and_no_peer_twice(self) -> None:
        peers = [build_member(number, free_slots=number) for number in range(6)]
        for seed in range(50):
            ordered = PowerOfTwo().order(peers, random.Random(seed), 3)
            self.assertEqual(len(set(ordered)), 3)
            all_peers = PowerOfTwo().order(peers, random.Random(seed), 9)
            self.assertEqual(set(all_peers), set(peers))

    def test_prefers_freer_peers_and_spreads_the_choice(self) -> None:
        peers = [build_member(number, free_slots=number) for number in range(6)]
        rng = random.Random(1)
        first_choices = Counter(
            PowerOfTwo().order(peers, rng, 1)[0].free_slots
            for _round in range(600)
        )
        self.assertEqual(first_choices[0], 0)
        self.assertGreater(first_choices[5], first_choices[1])
        self.assertLess(first_choices[5], 300)

    def test_freer_peer_needs_more_spare_slots(self) -> None:
        rng = random.Random(1)
        queued = build_member(1, free_slots=3, queued=2)
        peer = build_member(2, free_slots=2)
        leaving = build_member(3, free_slots=3, state=MemberState.LEAVING)
        choice = PowerOfTwo()
        self.assertEqual(
            choice.choose_freer(1, (queued, peer, leaving), rng),
            (peer,),
        )
        self.assertEqual(
            choice.choose_freer(2, (queued, peer, leaving), rng), ()
        )
        self.assertEqual(choice.choose_freer(1, (leaving,), rng), ())
        self.assertEqual(choice.choose_freer(0, (peer,), rng), ())
