"""Tests of the passive health checks of a balancer.

They guard against new flows to an endpoint that has failed, and against an
endpoint that stays unreachable after it has recovered.
"""

import random
import unittest

from dragonflyshift._internal.membership import EndpointHealth
from dragonflyshift._internal.membership import health as health_module
from tests.lib.members import address_of

ENDPOINT = address_of(1)


class EndpointHealthTest(unittest.TestCase):
    def setUp(self):
        self.health = EndpointHealth(random.Random(7))

    def _forward_unanswered_flows(self, now):
        flows = health_module.UNANSWERED_FLOWS
        while flows:
            flows -= 1
            self.health.record_new_flow(ENDPOINT, now)

    def _is_reachable(self, now):
        return self.health.is_reachable(ENDPOINT, now)

    def test_unanswered_flows_make_an_endpoint_unreachable(self):
        self._forward_unanswered_flows(0)
        self.assertTrue(self._is_reachable(health_module.UNANSWERED_LIMIT_S))
        self.assertFalse(
            self._is_reachable(health_module.UNANSWERED_LIMIT_S + 0.01)
        )

    def test_too_few_unanswered_flows_are_ignored(self):
        self.health.record_new_flow(ENDPOINT, 0)
        self.assertTrue(self._is_reachable(99))

    def test_datagram_makes_an_endpoint_reachable_again(self):
        self.health.record_refusal(ENDPOINT, 0)
        self.assertFalse(self._is_reachable(0))
        self.health.record_datagram(ENDPOINT, 0.1)
        self.assertTrue(self._is_reachable(0.1))

    def test_one_flow_is_tried_after_each_growing_backoff(self):
        self.health.record_refusal(ENDPOINT, 0)
        now = 0
        backoffs = []
        while len(backoffs) < 8:
            start = now
            while not self._is_reachable(now):
                now += 0.05
            backoffs.append(now - start)
            self.health.record_new_flow(ENDPOINT, now)
            self.assertFalse(self._is_reachable(now))
        self.assertGreater(backoffs[3], 2 * backoffs[1])
        self.assertLess(max(backoffs), 1.5 * health_module.MAX_BACKOFF_S)

    def test_refusals_during_backoff_do_not_prolong_it(self):
        self.health.record_refusal(ENDPOINT, 0)
        for tick in range(10):
            self.health.record_refusal(ENDPOINT, tick / 100)
        self.assertTrue(self._is_reachable(2 * health_module.FIRST_BACKOFF_S))

    def test_reset_removes_statuses_from_before_a_pause(self):
        self._forward_unanswered_flows(0)
        self.health.reset()
        self.assertTrue(self._is_reachable(100))

    def test_number_of_statuses_is_bounded(self):
        for number in range(health_module.MAX_ENDPOINTS + 10):
            self.health.record_refusal(address_of(number), 0)
        self.assertTrue(self.health.is_reachable(address_of(0), 0))
        self.assertFalse(self.health.is_reachable(address_of(11), 0))
