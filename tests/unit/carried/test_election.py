import random
import unittest

from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.election import (
    READERS,
    ReaderElection,
)

_FIRST: SocketAddress = ('10.0.0.1', 7720)
_SECOND: SocketAddress = ('10.0.0.2', 7720)
_THIRD: SocketAddress = ('10.0.0.3', 7720)
_STEP_S = 0.1


def _election(
    own: SocketAddress, *, is_balancer: bool = True
) -> ReaderElection:
    return ReaderElection(own, is_balancer, random.Random(1))


class ElectionTest(unittest.TestCase):
    def test_start_reads_without_waiting(self) -> None:
        election = _election(_THIRD)
        self.assertTrue(
            election.should_read(0, [], float('inf'), is_reading=False),
        )

    def test_first_readers_go_on_and_others_stop(self) -> None:
        readers = [_FIRST, _SECOND, _THIRD]
        keeps = [
            _election(own).should_read(0, readers, 0, is_reading=True)
            for own in readers
        ]
        self.assertEqual(keeps, [True, True, False])

    def test_lost_reader_is_replaced_within_bounded_time(self) -> None:
        election = _election(_THIRD)
        started = self._first_read(election, [_FIRST])
        self.assertLess(started, 2.1)

    def test_no_reader_is_replaced_soon(self) -> None:
        started = self._first_read(_election(_THIRD), [])
        self.assertLess(started, 0.5)

    def test_enough_readers_are_enough(self) -> None:
        started = self._first_read(_election(_THIRD), [_FIRST, _SECOND])
        self.assertEqual(started, float('inf'))

    def test_crowd_does_not_step_in_at_once(self) -> None:
        """All daemons hear at the same moment that one reader is missing."""
        started = sorted(
            self._first_read(
                ReaderElection(_THIRD, True, random.Random(seed)),
                [_FIRST],
            )
            for seed in range(60)
        )
        # The first few have announced themselves before most others are due.
        self.assertLess(sum(at < started[0] + 0.5 for at in started), 30)

    def test_sidecar_reads_only_without_news(self) -> None:
        election = _election(_THIRD, is_balancer=False)
        for tick in range(50):
            now = tick * _STEP_S
            reads = election.should_read(now, [], 0.5, is_reading=False)
            self.assertFalse(reads)
        started = self._first_read(election, [], age_s=9)
        self.assertLess(started, 2)

    def test_readers_wanted(self) -> None:
        self.assertEqual(READERS, 2)

    def _first_read(
        self,
        election: ReaderElection,
        readers: list[SocketAddress],
        age_s: float = 1,
    ) -> float:
        for tick in range(60):
            now = tick * _STEP_S
            if election.should_read(now, readers, age_s, is_reading=False):
                return now
        return float('inf')
