"""Tests of rendezvous hashing: spread, stability, order and tiers.

They guard against balancers that rank the same view differently, flows that
move without need, and a service that is unreachable although a usable
endpoint exists.
"""

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
    Rendezvous,
    RoutingScope,
)
from tests.unit.routing.builders import SCOPE, build_candidate

FLOW_KEYS = tuple(number.to_bytes(8) for number in range(400))

candidate_views = st.lists(
    st.builds(
        build_candidate,
        st.integers(0, 10_000),
        data_center=st.sampled_from(('adama', 'batu')),
        region=st.sampled_from(('oromia', 'selangor')),
        weight=st.sampled_from((0, 0.5, 1, 3)),
        endpoint_state=st.sampled_from(EndpointState),
        state=st.sampled_from(MemberState),
        reachable=st.booleans(),
    ),
    max_size=12,
    unique_by=lambda candidate: candidate.endpoint.address,
)


def _first_choice(
    candidates: tuple[Candidate, ...], flow_key: bytes
) -> Candidate:
    return Rendezvous().rank(flow_key, candidates, SCOPE)[0]


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
        flow_key: bytes,
        rng: random.Random,
    ) -> None:
        ranked = Rendezvous().rank(flow_key, tuple(view), SCOPE, 12)
        rng.shuffle(view)
        self.assertEqual(ranked, Rendezvous().rank(flow_key, view, SCOPE, 12))
        self.assertEqual(len(ranked), len(set(ranked)))

    @given(candidate_views, st.sampled_from(Locality))
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_never_leaving_and_healthy_while_any_remains(
        self,
        view: list[Candidate],
        locality: Locality,
    ) -> None:
        scope = RoutingScope('adama', 'oromia', locality)
        ranked = Rendezvous().rank(b'flow-key', view, scope, 2)
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
    def test_removing_an_endpoint_moves_only_its_flows(
        self,
        size: int,
        draw: st.DataObject,
    ) -> None:
        view = tuple(build_candidate(number) for number in range(size))
        removed = view[draw.draw(st.integers(0, size - 1))]
        remaining = tuple(each for each in view if each is not removed)
        for flow_key in FLOW_KEYS[:100]:
            first, second = Rendezvous().rank(flow_key, view, SCOPE)
            expected = second if first is removed else first
            self.assertIs(_first_choice(remaining, flow_key), expected)


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
            choice.rank(number.to_bytes(8), view, SCOPE)[0]
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
        ranked = Rendezvous().rank(b'flow-key', view, SCOPE, 3)
        self.assertEqual(ranked, (view[2], *idle))
        reordered = Rendezvous().rank(
            b'flow-key', tuple(reversed(view)), SCOPE, 3
        )
        self.assertEqual(reordered, ranked)

    def test_nearer_endpoints_rank_first(self) -> None:
        near = build_candidate(1)
        region = build_candidate(2, data_center='batu')
        far = build_candidate(3, data_center='bangsar', region='selangor')
        ranked = Rendezvous().rank(b'flow-key', (far, region, near), SCOPE, 3)
        self.assertEqual(ranked, (near, region, far))

    def test_region_locality_puts_the_region_in_one_tier(self) -> None:
        view = (build_candidate(1), build_candidate(2, data_center='batu'))
        scope = RoutingScope('adama', 'oromia', Locality.REGION)
        choice = Rendezvous()
        first_choices = {
            choice.rank(flow_key, view, scope)[0] for flow_key in FLOW_KEYS[:50]
        }
        self.assertEqual(first_choices, set(view))

    def test_healthier_endpoints_rank_first(self) -> None:
        cold = build_candidate(1, state=MemberState.COLD)
        suspect = build_candidate(2, state=MemberState.SUSPECT)
        alive = build_candidate(3, data_center='batu')
        ranked = Rendezvous().rank(
            b'flow-key', (cold, suspect, alive), SCOPE, 3
        )
        self.assertEqual(ranked, (alive, suspect, cold))

    def test_unreachable_and_dead_are_used_as_a_last_resort(self) -> None:
        dead = build_candidate(1, state=MemberState.DEAD)
        unreachable = build_candidate(2, reachable=False)
        choice = Rendezvous()
        self.assertEqual(
            choice.rank(b'k', (dead, unreachable), SCOPE), (unreachable,)
        )
        self.assertEqual(choice.rank(b'k', (dead,), SCOPE), (dead,))

    def test_changed_view_does_not_use_the_cached_tiers(self) -> None:
        choice = Rendezvous()
        view = (build_candidate(1),)
        self.assertEqual(choice.rank(b'k', view, SCOPE), view)
        changed = (build_candidate(2),)
        self.assertEqual(choice.rank(b'k', changed, SCOPE), changed)

    def test_plugin_is_registered(self) -> None:
        found = find_plugin(CandidateChoice, 'rendezvous')
        self.assertIs(found, Rendezvous)
