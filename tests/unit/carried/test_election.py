"""Tests which daemons read the store.

With too many readers the store's rate limit is exceeded, with none the views
of all daemons become outdated.
"""

import random
import unittest

from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.election import (
    WANTED_READERS,
    ReaderElection,
    RefreshTimes,
)

_FIRST: SocketAddress = ('10.0.0.1', 7720)
_SECOND: SocketAddress = ('10.0.0.2', 7720)
_THIRD: SocketAddress = ('10.0.0.3', 7720)
_STEP_S = 0.1


def _election(
    own_address: SocketAddress, *, is_balancer: bool = True, bound_s: float = 3
) -> ReaderElection:
    times = RefreshTimes(bound_s)
    return ReaderElection(own_address, is_balancer, random.Random(1), times)


class ElectionTest(unittest.TestCase):
    def test_starting_balancer_reads_at_once(self) -> None:
        election = _election(_THIRD)
        self.assertTrue(
            election.should_read(0, [], float('inf'), is_reading=False),
        )

    def test_surplus_readers_with_higher_addresses_stop(self) -> None:
        readers = [_FIRST, _SECOND, _THIRD]
        keeps = [
            _election(own_address).should_read(0, readers, 0, is_reading=True)
            for own_address in readers
        ]
        self.assertEqual(keeps, [True, True, False])

    def test_one_lost_reader_is_replaced_within_the_delay(self) -> None:
        election = _election(_THIRD)
        started = self._first_read(election, [_FIRST])
        self.assertLess(started, 2.1)

    def test_last_lost_reader_is_replaced_sooner(self) -> None:
        started = self._first_read(_election(_THIRD), [])
        self.assertLess(started, 0.5)

    def test_no_takeover_with_enough_readers(self) -> None:
        started = self._first_read(_election(_THIRD), [_FIRST, _SECOND])
        self.assertEqual(started, float('inf'))

    def test_takeovers_are_spread_over_time(self) -> None:
        """All daemons detect a missing reader at the same time.

        If they all replaced it at once, they would exceed the rate limit.
        """
        started = sorted(
            self._first_read(
                ReaderElection(_THIRD, True, random.Random(seed)),
                [_FIRST],
            )
            for seed in range(60)
        )
        # The first ones have reported themselves before most others are due.
        self.assertLess(sum(at < started[0] + 0.5 for at in started), 30)

    def test_sidecar_reads_only_with_an_outdated_view(self) -> None:
        election = _election(_THIRD, is_balancer=False)
        for tick in range(50):
            now = tick * _STEP_S
            reads = election.should_read(now, [], 0.5, is_reading=False)
            self.assertFalse(reads)
        started = self._first_read(election, [], view_age_s=9)
        self.assertLess(started, 2)

    def test_balancer_with_an_old_view_reads_whatever_readers_report(self):
        """Readers that are cut off silently go on to report that they read."""
        readers = [_FIRST, _SECOND]
        for bound_s in (1.0, 3.0, 6.0):
            times = RefreshTimes(bound_s)
            election = _election(_THIRD, bound_s=bound_s)
            fresh = self._first_read(election, readers, times.max_age_s - 0.01)
            stale = self._first_read(election, readers, times.max_age_s)
            with self.subTest(bound_s=bound_s):
                self.assertEqual(fresh, float('inf'))
                self.assertLess(stale, times.takeover_delay_s + 2 * _STEP_S)

    def test_view_that_was_confirmed_again_ends_the_hurry(self) -> None:
        """Otherwise all others would read once one of them has."""
        election = ReaderElection(_THIRD, True, random.Random(2))
        self.assertFalse(election.should_read(0, [_FIRST], 2, is_reading=False))
        reads = [
            election.should_read(
                0.3 + tick * _STEP_S, [_FIRST], 0.1, is_reading=False
            )
            for tick in range(4)
        ]
        self.assertFalse(any(reads))

    def test_two_readers_are_wanted(self) -> None:
        self.assertEqual(WANTED_READERS, 2)

    def _first_read(
        self,
        election: ReaderElection,
        readers: list[SocketAddress],
        view_age_s: float = 1,
    ) -> float:
        for tick in range(60):
            now = tick * _STEP_S
            if election.should_read(now, readers, view_age_s, is_reading=False):
                return now
        return float('inf')
