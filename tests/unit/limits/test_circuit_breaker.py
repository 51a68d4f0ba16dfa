"""Tests of the circuit breaker, alone and as a part of the admission.

A server that fails fast always has free slots. Without the breaker its sidecar
would attract requests that then fail.
"""

import unittest

from dragonflyshift._internal.limits import AdaptiveAdmission
from dragonflyshift._internal.limits.circuit_breaker import (
    FAILURES_TO_OPEN,
    MAX_OPEN_SECONDS,
    CircuitBreaker,
)


def _fail_until_open(breaker: CircuitBreaker, now: float = 0) -> None:
    for _ in range(FAILURES_TO_OPEN):
        breaker.record_failure(now)


class BreakerTests(unittest.TestCase):
    def test_opens_after_failures_in_a_row_only(self) -> None:
        breaker = CircuitBreaker()
        for _ in range(10):
            for _ in range(FAILURES_TO_OPEN - 1):
                self.assertFalse(breaker.record_failure(0))
            breaker.record_success(0)
        self.assertFalse(breaker.is_open(0))
        _fail_until_open(breaker)
        self.assertTrue(breaker.is_open(0))

    def test_failures_after_reopening_double_the_open_time(self) -> None:
        breaker = CircuitBreaker()
        _fail_until_open(breaker)
        now: float = 0
        lengths = []
        for _ in range(5):
            opened_at = now
            while breaker.is_open(now):
                now += 0.5
            lengths.append(now - opened_at)
            self.assertTrue(breaker.record_failure(now))
        self.assertEqual(lengths, [1, 2, 4, MAX_OPEN_SECONDS, 4])

    def test_results_while_open_are_ignored(self) -> None:
        breaker = CircuitBreaker()
        _fail_until_open(breaker)
        breaker.record_failure(0.5)
        breaker.record_success(0.5)
        self.assertTrue(breaker.is_open(0.9))
        self.assertFalse(breaker.is_open(1))


class AdmissionTests(unittest.TestCase):
    def test_failing_server_gets_no_requests_until_the_breaker_closes(
        self,
    ) -> None:
        admission = AdaptiveAdmission(
            slots=4, queue_limit=8, slow_start=0, now=0
        )
        for _ in range(FAILURES_TO_OPEN):
            admission.record_shed(0)
        self.assertFalse(admission.try_start(0.5))
        ticket = admission.enqueue(0.5, 30, b'')
        self.assertIsNone(admission.start_next(0.5))
        self.assertEqual(admission.capacity(1), 1)
        self.assertIs(admission.start_next(1), ticket)
        admission.record_success(1.1)
        self.assertEqual(admission.capacity(30), 4)
