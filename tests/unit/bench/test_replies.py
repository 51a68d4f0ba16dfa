"""Replays of flows whose balancers are replaced or fail.

They guard against a response that is retransmitted through balancers that have
ended until the client's idle timeout, although others are in rotation. The
seeds are those of flows that failed before.
"""

import unittest

from bench.replies.__main__ import issue_keys
from bench.replies.balancers import SCENARIOS
from bench.replies.flow import replay_flow

PAUSE_S = 0.6


class RepliesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.keys = issue_keys()

    def test_flow_survives_the_failure_of_the_only_known_balancer(self):
        self.assertEqual(self._replay('killed', 48), '')
        self.assertEqual(
            self._replay('killed-without-reports', 48), 'Idle timeout'
        )

    def test_flow_survives_the_replacement_of_all_balancers(self):
        for seed, pause_s in ((81, 0.05), (0, 0.6), (5, 0.6)):
            with self.subTest(seed=seed, pause_s=pause_s):
                self.assertEqual(self._replay('replaced', seed, pause_s), '')

    def _replay(self, scenario, seed, pause_s=PAUSE_S):
        return replay_flow(self.keys, SCENARIOS[scenario], seed, pause_s)
