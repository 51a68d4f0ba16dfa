"""When a reply carries the membership digest to a balancer.

Guards against a lost digest that is not repeated, and against a digest in
every reply to a balancer whose view stays different.
"""

import unittest

from dragonflyshift._internal.sidecar import balancer_views as module
from tests.lib.members import address_of

BALANCER = address_of(1)
OWN, OTHER, NEWER = b'own', b'other', b'newer'


class BalancerViewsTest(unittest.TestCase):
    def setUp(self):
        self.views = module.BalancerViews()

    def _is_due(self, now, own=OWN, balancer=BALANCER):
        return self.views.take_due(balancer, own, now)

    def test_nothing_is_due_to_an_equal_or_unknown_view(self):
        self.assertFalse(self._is_due(0))
        self.views.update(BALANCER, OWN)
        self.assertFalse(self._is_due(0))

    def test_views_that_stay_different_are_sent_less_often(self):
        sent = 0
        for tick in range(6000):
            self.views.update(BALANCER, OTHER)
            sent += self._is_due(tick / 10)
        self.assertLess(sent, 30)
        self.assertGreater(sent, 600 / module.MAX_PERIOD_SECONDS)

    def test_lost_digest_is_repeated_quickly(self):
        self.views.update(BALANCER, OTHER)
        due = [self._is_due(tick / 10) for tick in range(21)]
        self.assertEqual(sum(due), 4)

    def test_change_of_either_view_is_sent_immediately(self):
        self.views.update(BALANCER, OTHER)
        self.assertTrue(self._is_due(0))
        self.assertFalse(self._is_due(0.1))
        self.assertTrue(self._is_due(0.1, NEWER))
        self.assertFalse(self._is_due(0.15, NEWER))
        self.views.update(BALANCER, bytes(8))
        self.assertTrue(self._is_due(0.15, NEWER))

    def test_number_of_views_is_bounded(self):
        for number in range(module.MAX_BALANCERS + 1):
            self.views.update(address_of(number), OTHER)
        self.assertFalse(self._is_due(0, balancer=address_of(0)))
        self.assertTrue(self._is_due(0, balancer=address_of(1)))
