import random
import unittest

from dragonflyshift._internal.membership import EndpointHealth
from dragonflyshift._internal.membership import health as module
from tests.lib.members import address_of

ENDPOINT = address_of(1)


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.health = EndpointHealth(random.Random(7))

    def _fail(self, now):
        flows = module.UNANSWERED_FLOWS
        while flows:
            flows -= 1
            self.health.forwarded_new(ENDPOINT, now)

    def _reachable(self, now):
        return self.health.reachable(ENDPOINT, now)

    def test_unanswered_flows_make_unreachable_after_the_limit(self):
        self._fail(0)
        self.assertTrue(self._reachable(module.UNANSWERED_LIMIT_S))
        self.assertFalse(self._reachable(module.UNANSWERED_LIMIT_S + 0.01))

    def test_too_few_flows_prove_nothing(self):
        self.health.forwarded_new(ENDPOINT, 0)
        self.assertTrue(self._reachable(99))

    def test_word_heard_clears_at_once(self):
        self.health.refused(ENDPOINT, 0)
        self.assertFalse(self._reachable(0))
        self.health.heard(ENDPOINT, 0.1)
        self.assertTrue(self._reachable(0.1))

    def test_one_trial_flow_after_each_growing_backoff(self):
        self.health.refused(ENDPOINT, 0)
        now = 0
        gaps = []
        while len(gaps) < 8:
            start = now
            while not self._reachable(now):
                now += 0.05
            gaps.append(now - start)
            self.health.forwarded_new(ENDPOINT, now)
            self.assertFalse(self._reachable(now))
        self.assertGreater(gaps[3], 2 * gaps[1])
        self.assertLess(max(gaps), 1.5 * module.MAX_BACKOFF_S)

    def test_refusals_during_backoff_do_not_prolong_it(self):
        self.health.refused(ENDPOINT, 0)
        for tick in range(10):
            self.health.refused(ENDPOINT, tick / 100)
        self.assertTrue(self._reachable(2 * module.FIRST_BACKOFF_S))

    def test_reset_forgets_what_preceded_a_pause(self):
        self._fail(0)
        self.health.reset()
        self.assertTrue(self._reachable(100))

    def test_memory_is_bounded(self):
        for number in range(module.MAX_ENDPOINTS + 10):
            self.health.refused(address_of(number), 0)
        self.assertTrue(self.health.reachable(address_of(0), 0))
        self.assertFalse(self.health.reachable(address_of(11), 0))
