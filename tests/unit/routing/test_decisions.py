"""Keeping or passing on a flow, and the order of peers."""

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
        self.freer = build_member(2, free_slots=3)

    def test_keeps_with_a_free_slot(self) -> None:
        self.assertTrue(self.decision.accepts(_load(), self.freer, 0))

    def test_passes_on_when_it_cannot_keep(self) -> None:
        for own in (
            _load(state=MemberState.LEAVING),
            _load(connections=10),
            _load(free_slots=0),
            _load(state=MemberState.COLD),
        ):
            with self.subTest(own=own):
                self.assertFalse(self.decision.accepts(own, self.freer, 0))

    def test_keeps_when_the_second_is_no_better(self) -> None:
        for state in MemberState:
            free = 0 if state is MemberState.ALIVE else 3
            second = build_member(2, free_slots=free, state=state)
            with self.subTest(second=second):
                full = _load(free_slots=0)
                self.assertTrue(self.decision.accepts(full, second, 0))

    def test_a_flow_that_was_passed_on_stays(self) -> None:
        own = _load(state=MemberState.COLD, free_slots=0)
        self.assertTrue(self.decision.accepts(own, self.freer, 1))

    def test_leaving_refuses_even_a_flow_that_was_passed_on(self) -> None:
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
            everyone = PowerOfTwo().order(peers, random.Random(seed), 9)
            self.assertEqual(set(everyone), set(peers))

    def test_prefers_freer_peers_without_herding(self) -> None:
        peers = [build_member(number, free_slots=number) for number in range(6)]
        rng = random.Random(1)
        firsts = Counter(
            PowerOfTwo().order(peers, rng, 1)[0].free_slots
            for _round in range(600)
        )
        self.assertEqual(firsts[0], 0)
        self.assertGreater(firsts[5], firsts[1])
        self.assertLess(firsts[5], 300)

    def test_freer_peer_only_if_it_has_more_room(self) -> None:
        rng = random.Random(1)
        queued = build_member(1, free_slots=3, queued=2)
        peer = build_member(2, free_slots=2)
        leaving = build_member(3, free_slots=3, state=MemberState.LEAVING)
        choice = PowerOfTwo()
        self.assertEqual(
            choice.freer(1, (queued, peer, leaving), rng),
            (peer,),
        )
        self.assertEqual(choice.freer(2, (queued, peer, leaving), rng), ())
        self.assertEqual(choice.freer(1, (leaving,), rng), ())
        self.assertEqual(choice.freer(0, (peer,), rng), ())
