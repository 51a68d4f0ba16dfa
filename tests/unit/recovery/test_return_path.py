import unittest

from dragonflyshift._internal.recovery import BalancerDirectory, ReturnPath
from dragonflyshift._internal.recovery.balancers import (
    MAX_BALANCERS,
    RECENT_S,
)
from dragonflyshift._internal.recovery.return_path import (
    MAX_DELIVERERS,
    SILENCE_LIMIT_S,
)
from tests.lib.members import address_of

ONE, TWO, THREE = (address_of(number) for number in (1, 2, 3))
LATE = SILENCE_LIMIT_S + 0.01


class ReturnPathTest(unittest.TestCase):
    def setUp(self):
        self.directory = BalancerDirectory()
        self.path = ReturnPath(self.directory)

    def test_latest_deliverer_is_chosen(self):
        self.assertIsNone(self.path.choose(0))
        for balancer in (ONE, TWO, ONE):
            self.path.delivered(balancer, 0)
        self.assertEqual(self.path.choose(0), ONE)

    def test_silence_rotates_through_deliverers_then_others(self):
        self.directory.heard(THREE, 0)
        self.path.delivered(ONE, 0)
        self.path.delivered(TWO, 0)
        tried = []
        for step in range(4):
            now = step * LATE
            tried.append(self.path.choose(now))
            self.path.sent(now)
        self.assertEqual(tried, [TWO, ONE, THREE, TWO])

    def test_idle_connection_does_not_rotate(self):
        self.path.delivered(TWO, 0)
        self.directory.heard(ONE, 99)
        self.assertEqual(self.path.choose(99), TWO)

    def test_answer_ends_the_silence(self):
        self.directory.heard(TWO, 0)
        self.path.delivered(ONE, 0)
        self.path.sent(0)
        self.path.delivered(ONE, 0.1)
        self.assertEqual(self.path.choose(LATE), ONE)

    def test_leaving_balancer_is_left_while_another_is_known(self):
        self.path.delivered(ONE, 0)
        self.directory.heard(ONE, 1, leaving=True)
        self.assertEqual(self.path.choose(1), ONE)
        self.directory.heard(TWO, 1)
        self.assertEqual(self.path.choose(1), TWO)

    def test_memory_is_bounded(self):
        for number in range(1, MAX_BALANCERS + 10):
            self.path.delivered(address_of(number), 0)
            self.directory.heard(address_of(number), 0)
        self.assertEqual(len(tuple(self.directory.recent(0))), MAX_BALANCERS)
        self.assertEqual(len(self.path._deliverers), MAX_DELIVERERS)

    def test_balancers_not_heard_lately_are_not_offered(self):
        self.directory.heard(ONE, 0)
        self.assertFalse(tuple(self.directory.recent(RECENT_S + 1)))
