"""Rendezvous hashing: spread, disruption, order and the ladder."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.models import (
    EndpointState,
    Locality,
    MemberState,
)
from dragonflyshift._internal.routing import (
    Candidate,
    CandidateChoice,
    Place,
    Rendezvous,
)
from tests.unit.routing.builders import HERE, build_candidate

FLOWS = tuple(number.to_bytes(8) for number in range(400))

candidate_views = st.lists(
    st.builds(
        build_candidate,
        st.integers(0, 10_000),
        data_center=st.sampled_from(('adama', 'batu')),
        region=st.sampled_from(('oromia', 'selangor')),
        weight=st.sampled_from((0, 0.5, 1, 3)),
        register=st.sampled_from(EndpointState),
        state=st.sampled_from(MemberState),
        reachable=st.booleans(),
    ),
    max_size=12,
    unique_by=lambda candidate: candidate.endpoint.address,
)


def _first(candidates: tuple[Candidate, ...], flow: bytes) -> Candidate:
    return Rendezvous().rank(flow, candidates, HERE)[0]


def _is_leaving(candidate: Candidate) -> bool:
    return (
        candidate.endpoint.state is EndpointState.LEAVING
        or candidate.state is MemberState.LEAVING
    )


class RendezvousPropertyTests(unittest.TestCase):
    @given(candidate_views, st.binary(min_size=8, max_size=20), st.randoms())
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_order_of_the_view_does_not_matter(
        self,
        view: list[Candidate],
        flow: bytes,
        rng: random.Random,
    ) -> None:
        ranked = Rendezvous().rank(flow, tuple(view), HERE, 12)
        rng.shuffle(view)
        self.assertEqual(ranked, Rendezvous().rank(flow, view, HERE, 12))
        self.assertEqual(len(ranked), len(set(ranked)))

    @given(candidate_views, st.sampled_from(Locality))
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_leaving_never_and_reachable_while_any_is_left(
        self,
        view: list[Candidate],
        locality: Locality,
    ) -> None:
        place = Place('adama', 'oromia', locality)
        ranked = Rendezvous().rank(b'flow-key', view, place, 2)
        staying = [each for each in view if not _is_leaving(each)]
        self.assertFalse(any(_is_leaving(each) for each in ranked))
        self.assertEqual(bool(ranked), bool(staying))
        healthy = {
            each
            for each in staying
            if each.reachable and each.state is not MemberState.DEAD
        }
        if healthy:
            self.assertLessEqual(set(ranked), healthy)
            self.assertEqual(len(ranked), min(2, len(healthy)))

    @given(st.integers(2, 12), st.data())
    @settings(derandomize=True, deadline=None, max_examples=20)
    def test_an_endpoint_that_goes_moves_only_its_own_flows(
        self,
        size: int,
        draw: st.DataObject,
    ) -> None:
        view = tuple(build_candidate(number) for number in range(size))
        gone = view[draw.draw(st.integers(0, size - 1))]
        left = tuple(each for each in view if each is not gone)
        for flow in FLOWS[:100]:
            first, second = Rendezvous().rank(flow, view, HERE)
            expected = second if first is gone else first
            self.assertIs(_first(left, flow), expected)


class RendezvousTests(unittest.TestCase):
    def test_spread_follows_weights(self) -> None:
        weights = (1, 1, 2, 4)
        view = tuple(
            build_candidate(number, weight=weight)
            for number, weight in enumerate(weights)
        )
        choice = Rendezvous()
        flows = 16_000
        counts = Counter(
            choice.rank(number.to_bytes(8), view, HERE)[0]
            for number in range(flows)
        )
        for candidate, weight in zip(view, weights, strict=True):
            expected = flows * weight / sum(weights)
            self.assertAlmostEqual(
                counts[candidate] / expected,
                1,
                delta=0.1,
            )

    def test_weight_zero_comes_last_in_one_order(self) -> None:
        idle = (build_candidate(1, weight=0), build_candidate(2, weight=0))
        view = (*idle, build_candidate(3))
        ranked = Rendezvous().rank(b'flow-key', view, HERE, 3)
        self.assertEqual(ranked, (view[2], *idle))
        reordered = Rendezvous().rank(
            b'flow-key', tuple(reversed(view)), HERE, 3
        )
        self.assertEqual(reordered, ranked)

    def test_ladder_of_distance(self) -> None:
        near = build_candidate(1)
        region = build_candidate(2, data_center='batu')
        far = build_candidate(3, data_center='bangsar', region='selangor')
        ranked = Rendezvous().rank(b'flow-key', (far, region, near), HERE, 3)
        self.assertEqual(ranked, (near, region, far))

    def test_region_rule_makes_one_rung_of_the_region(self) -> None:
        view = (build_candidate(1), build_candidate(2, data_center='batu'))
        place = Place('adama', 'oromia', Locality.REGION)
        choice = Rendezvous()
        firsts = {choice.rank(flow, view, place)[0] for flow in FLOWS[:50]}
        self.assertEqual(firsts, set(view))

    def test_ladder_of_health(self) -> None:
        cold = build_candidate(1, state=MemberState.COLD)
        suspect = build_candidate(2, state=MemberState.SUSPECT)
        alive = build_candidate(3, data_center='batu')
        ranked = Rendezvous().rank(b'flow-key', (cold, suspect, alive), HERE, 3)
        self.assertEqual(ranked, (alive, suspect, cold))

    def test_last_resort_when_nothing_healthy_is_left(self) -> None:
        dead = build_candidate(1, state=MemberState.DEAD)
        cut_off = build_candidate(2, reachable=False)
        choice = Rendezvous()
        self.assertEqual(choice.rank(b'k', (dead, cut_off), HERE), (cut_off,))
        self.assertEqual(choice.rank(b'k', (dead,), HERE), (dead,))

    def test_changed_view_is_not_answered_from_the_prepared_one(self) -> None:
        choice = Rendezvous()
        view = (build_candidate(1),)
        self.assertEqual(choice.rank(b'k', view, HERE), view)
        changed = (build_candidate(2),)
        self.assertEqual(choice.rank(b'k', changed, HERE), changed)

    def test_registered(self) -> None:
        found = find_plugin(CandidateChoice, 'rendezvous')
        self.assertIs(found, Rendezvous)
