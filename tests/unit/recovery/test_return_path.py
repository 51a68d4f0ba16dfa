"""Tests of the return path.

They guard against replies that are sent through a balancer that has failed or
is leaving although another one is available.
"""

import unittest

from dragonflyshift._internal.recovery import BalancerDirectory, ReturnPath
from dragonflyshift._internal.recovery.balancers import (
    MAX_BALANCERS,
    RECENT_S,
)
from dragonflyshift._internal.recovery.return_path import (
    MAX_DELIVERING_BALANCERS,
    RESPONSE_TIMEOUT_S,
)
from tests.lib.members import address_of

FIRST, SECOND, THIRD = (address_of(number) for number in (1, 2, 3))
AFTER_RESPONSE_TIMEOUT_S = RESPONSE_TIMEOUT_S + 0.01


class ReturnPathTest(unittest.TestCase):
    def setUp(self):
        self.directory = BalancerDirectory()
        self.path = ReturnPath(self.directory)

    def test_last_delivering_balancer_is_chosen(self):
        self.assertIsNone(self.path.choose(0))
        for balancer in (FIRST, SECOND, FIRST):
            self.path.record_delivery(balancer, 0)
        self.assertEqual(self.path.choose(0), FIRST)

    def test_timeout_rotates_to_the_most_recently_seen_balancers(self):
        for balancer, seen_at in ((FIRST, 0), (THIRD, 0.1), (SECOND, 0.2)):
            self.directory.record(balancer, seen_at)
        self.path.record_delivery(FIRST, 0)
        self.path.record_delivery(SECOND, 0)
        self.assertEqual(
            self._tried_balancers(4), [SECOND, THIRD, FIRST, SECOND]
        )

    def test_balancers_that_only_the_connection_knows_come_last(self):
        self.directory.record(THIRD, 0)
        self.path.record_delivery(FIRST, 0)
        self.path.record_delivery(SECOND, 0)
        self.assertEqual(
            self._tried_balancers(4), [SECOND, THIRD, FIRST, THIRD]
        )

    def test_first_retry_avoids_replaced_balancers(self):
        # All four balancers that delivered packets of the connection have been
        # replaced. Retransmissions follow each other at growing intervals, so
        # trying the replaced ones in turn would exceed an idle timeout.
        for number in range(1, MAX_DELIVERING_BALANCERS + 1):
            self.directory.record(address_of(number), 0)
            self.path.record_delivery(address_of(number), 0)
        successor = address_of(MAX_DELIVERING_BALANCERS + 1)
        self.directory.record(successor, 0.3)
        self.assertEqual(self._tried_balancers(2)[-1], successor)

    def _tried_balancers(self, count):
        """Return the balancers chosen, each after a response timeout."""
        tried = []
        for step in range(count):
            now = step * AFTER_RESPONSE_TIMEOUT_S
            tried.append(self.path.choose(now))
            self.path.record_sent(now)
        return tried

    def test_idle_connection_does_not_rotate(self):
        self.path.record_delivery(SECOND, 0)
        self.directory.record(FIRST, 99)
        self.assertEqual(self.path.choose(99), SECOND)

    def test_delivery_resets_the_timeout(self):
        self.directory.record(SECOND, 0)
        self.path.record_delivery(FIRST, 0)
        self.path.record_sent(0)
        self.path.record_delivery(FIRST, 0.1)
        self.assertEqual(self.path.choose(AFTER_RESPONSE_TIMEOUT_S), FIRST)

    def test_pause_of_the_process_suspects_no_balancer(self):
        # The client's response may wait in the socket's buffer.
        self.path.record_delivery(FIRST, 0)
        self.path.record_delivery(SECOND, 0)
        self.path.record_sent(0)
        self.directory.reset()
        resumed_at = AFTER_RESPONSE_TIMEOUT_S
        self.assertEqual(self.path.choose(resumed_at), SECOND)
        self.path.record_sent(resumed_at)
        overdue_at = resumed_at + AFTER_RESPONSE_TIMEOUT_S
        self.assertEqual(self.path.choose(overdue_at), FIRST)

    def test_leaving_balancer_is_used_only_without_another(self):
        self.path.record_delivery(FIRST, 0)
        self.directory.record(FIRST, 1, leaving=True)
        self.assertEqual(self.path.choose(1), FIRST)
        self.directory.record(SECOND, 1)
        self.assertEqual(self.path.choose(1), SECOND)

    def test_number_of_balancers_is_bounded(self):
        for number in range(1, MAX_BALANCERS + 10):
            self.path.record_delivery(address_of(number), 0)
            self.directory.record(address_of(number), 0)
        self.assertEqual(len(tuple(self.directory.recent(0))), MAX_BALANCERS)
        self.assertEqual(
            len(self.path._delivering_balancers), MAX_DELIVERING_BALANCERS
        )

    def test_balancers_not_seen_recently_are_skipped(self):
        self.directory.record(FIRST, 0)
        self.assertFalse(tuple(self.directory.recent(RECENT_S + 1)))
