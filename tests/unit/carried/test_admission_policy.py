"""Tests which new flows the default admission policy queues or refuses.

Under overload a queue that accepts every flow makes most responses late,
because all flows wait until shortly before their targets.
"""

import logging
import unittest

from attrs import evolve

from bench.emulator.scenario import load_scenario
from bench.emulator.simulation import run_scenario
from bench.emulator.statistics import Statistics
from dragonflyshift._internal.carried.policies.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    InTimeOnly,
)
from dragonflyshift._internal.carried.policies.target_first import TargetFirst
from tests.lib import admission_cases
from tests.lib.carried import build_new_flow


class InTimeOnlyTest(admission_cases.QueuedAdmissionCases):
    def setUp(self) -> None:
        self.policy = InTimeOnly()

    def test_late_flow_starts_in_a_free_slot(self) -> None:
        late = build_new_flow(1, waited_ms=600)
        self.assertIs(self.offer(0, late, busy=2), AdmissionDecision.START)

    def test_late_flow_is_refused_by_a_full_server(self) -> None:
        late = build_new_flow(1, waited_ms=600)
        self.assertIs(self.offer(0, late, busy=4), AdmissionDecision.REFUSE)
        self.assertEqual(self.policy.waiting, 0)

    def test_queue_length_is_limited_by_the_latency_target(self) -> None:
        decisions = [
            self.offer(0, build_new_flow(number), busy=4)
            for number in range(200)
        ]
        waiting = decisions.count(AdmissionDecision.WAIT)
        first_refusal = decisions.index(AdmissionDecision.REFUSE)
        self.assertEqual(first_refusal, waiting)
        # A target of 225 ms less 1.5 service times leaves time for 3 rounds
        # of three flows, one of which is running.
        self.assertIn(waiting, range(4, 9))

    def test_oldest_flow_starts_first(self) -> None:
        older = build_new_flow(1, waited_ms=60)
        younger = build_new_flow(2)
        self.offer(0, younger, busy=4)
        self.offer(0, older, busy=4)
        self.assertIs(self.next_ready(0.01, busy=3), older)

    def test_youngest_flow_starts_first_when_time_is_short(self) -> None:
        """The wait exceeds the prediction, so the oldest will be late."""
        older = build_new_flow(1, waited_ms=115)
        younger = build_new_flow(2, waited_ms=100)
        self.assertIs(self.offer(0, older, busy=4), AdmissionDecision.WAIT)
        self.assertIs(self.offer(0, younger, busy=4), AdmissionDecision.WAIT)
        self.assertIs(self.next_ready(0.05, busy=3), younger)

    def test_urgent_flow_starts_before_older_ones(self) -> None:
        older = build_new_flow(1, waited_ms=40)
        urgent = build_new_flow(2, priority=1)
        self.offer(0, older, busy=4)
        self.offer(0, urgent, busy=4)
        self.assertIs(self.next_ready(0.01, busy=3), urgent)

    def test_urgent_flow_waits_where_others_are_refused(self) -> None:
        for number in range(200):
            self.offer(0, build_new_flow(number), busy=4)
        urgent = build_new_flow(300, priority=1)
        self.assertIs(self.offer(0, urgent, busy=4), AdmissionDecision.WAIT)

    def test_late_flow_expires(self) -> None:
        flow = build_new_flow(1)
        self.offer(0, flow, busy=4)
        self.assertEqual(
            self.policy.expire(0.17, admission_cases.SERVICE_MS), []
        )
        self.assertEqual(
            self.policy.expire(0.18, admission_cases.SERVICE_MS), [flow]
        )

    def test_flow_does_not_wait_longer_than_its_client(self) -> None:
        """Clients give up after 1.4 s even if the target is 5 s."""
        decisions = [
            self.offer(0, build_new_flow(number, target_ms=5000), busy=4)
            for number in range(200)
        ]
        self.assertLess(decisions.count(AdmissionDecision.WAIT), 80)
        self.assertTrue(self.policy.expire(1.21, admission_cases.SERVICE_MS))


class OverloadTest(unittest.TestCase):
    """Compares both admission policies in simulated overload scenarios."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_burst_is_served_in_time_or_refused(self) -> None:
        """Flows arrive at 1.7 times the usual load for three seconds.

        Each server has one slot. If all flows may wait, the responses come
        just after their targets.
        """
        queue_all = self._simulate('burst-small', TargetFirst).total()
        in_time_only = self._simulate('burst-small', InTimeOnly).total()
        self.assertGreater(queue_all.late, 5 * in_time_only.late)
        self.assertGreater(in_time_only.in_time, queue_all.in_time)

    def test_fewer_flows_are_late_after_a_power_loss(self) -> None:
        """All clients reconnect at once while the servers are still cold."""
        queue_all = self._simulate('power-loss', TargetFirst)
        in_time_only = self._simulate('power-loss', InTimeOnly)
        self.assertLess(in_time_only.total().late, queue_all.total().late)
        self.assertGreater(
            in_time_only.worst_worth(6), queue_all.worst_worth(6)
        )

    def test_fewer_requests_fail_if_clients_wait_for_seconds(self) -> None:
        """Requests on lost flows return at once to servers that are cold."""
        name = 'power-loss-open-flows'
        queue_all = self._simulate(name, TargetFirst).total()
        in_time_only = self._simulate(name, InTimeOnly).total()
        self.assertLess(queue_all.failed, in_time_only.failed)
        self.assertGreater(queue_all.worth, in_time_only.worth)

    def _simulate(self, name: str, policy: type[AdmissionPolicy]) -> Statistics:
        """Return the sum of three seeds.

        The results of single seeds differ by more than the two policies do.
        """
        scenario = evolve(load_scenario(name), seconds=9)
        combined = Statistics()
        for seed in range(1, 4):
            statistics = run_scenario(scenario, seed, policy)
            for number, window in statistics.windows.items():
                combined.windows[seed * 100 + number] = window
        return combined
