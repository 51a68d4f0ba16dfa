"""The circuit breaker, alone and in the admission."""

import unittest

from dragonflyshift._internal.limits import Adaptive
from dragonflyshift._internal.limits.breaker import (
    FAILURES_TO_OPEN,
    MAX_OPEN_SECONDS,
    Breaker,
)


def _open(breaker: Breaker, now: float = 0) -> None:
    for _ in range(FAILURES_TO_OPEN):
        breaker.failed(now)


class BreakerTests(unittest.TestCase):
    def test_opens_after_failures_in_a_row_only(self) -> None:
        breaker = Breaker()
        for _ in range(10):
            for _ in range(FAILURES_TO_OPEN - 1):
                self.assertFalse(breaker.failed(0))
            breaker.succeeded(0)
        self.assertFalse(breaker.is_open(0))
        _open(breaker)
        self.assertTrue(breaker.is_open(0))

    def test_failed_probes_double_the_time_up_to_a_bound(self) -> None:
        breaker = Breaker()
        _open(breaker)
        now: float = 0
        lengths = []
        for _ in range(5):
            opened_at = now
            while breaker.is_open(now):
                now += 0.5
            lengths.append(now - opened_at)
            self.assertTrue(breaker.failed(now))
        self.assertEqual(lengths, [1, 2, 4, MAX_OPEN_SECONDS, 4])

    def test_late_results_while_open_change_nothing(self) -> None:
        breaker = Breaker()
        _open(breaker)
        breaker.failed(0.5)
        breaker.succeeded(0.5)
        self.assertTrue(breaker.is_open(0.9))
        self.assertFalse(breaker.is_open(1))


class AdmissionTests(unittest.TestCase):
    def test_failing_server_is_left_alone_then_probed(self) -> None:
        limit = Adaptive(slots=4, queue_limit=8, slow_start=0, now=0)
        for _ in range(FAILURES_TO_OPEN):
            limit.shed(0)
        self.assertFalse(limit.try_start(0.5))
        ticket = limit.enqueue(0.5, 30, b'')
        self.assertIsNone(limit.next_ready(0.5))
        self.assertEqual(limit.capacity(1), 1)
        self.assertIs(limit.next_ready(1), ticket)
        limit.served(1.1)
        self.assertEqual(limit.capacity(30), 4)
