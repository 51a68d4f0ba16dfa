"""Tests of the retry budget and its backoff.

They guard against retry storms: retries beyond the ratio of first attempts,
tokens earned without limit, and clients that retry at the same time.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.retries import RetryBudget
from dragonflyshift._internal.retries.budget import (
    INITIAL_TOKENS,
    MAX_BACKOFF_SECONDS,
    MAX_TOKENS,
    MIN_TOKENS_PER_SECOND,
)


class BudgetTests(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0, 3)), max_size=200),
        st.sampled_from((0.1, 0.5)),
    )
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_retries_stay_within_ratio_and_minimum_rate(
        self,
        steps: list[tuple[bool, float]],
        ratio: float,
    ) -> None:
        budget = RetryBudget(ratio, random.Random(1))
        now: float = 0
        first_attempts = 0
        retries = 0
        for is_first, elapsed in steps:
            now += elapsed
            if is_first:
                budget.deposit(now)
                first_attempts += 1
            elif budget.withdraw(now):
                retries += 1
            earned = ratio * first_attempts + MIN_TOKENS_PER_SECOND * now
            self.assertLessEqual(retries, INITIAL_TOKENS + earned + 1e-6)

    def test_a_long_pause_earns_at_most_the_maximum_tokens(self) -> None:
        budget = RetryBudget(0.1, random.Random(1))
        budget.deposit(0)
        allowed = sum(budget.withdraw(86400) for _ in range(100))
        self.assertEqual(allowed, MAX_TOKENS)

    def test_clock_that_stalls_or_goes_back_earns_no_tokens(self) -> None:
        budget = RetryBudget(0.1, random.Random(1))
        self.assertTrue(budget.withdraw(100))
        self.assertFalse(budget.withdraw(100))
        self.assertFalse(budget.withdraw(50))

    def test_ratio_zero_disables_retries(self) -> None:
        budget = RetryBudget(0, random.Random(1))
        budget.deposit(0)
        self.assertFalse(budget.withdraw(1000))

    def test_backoff_is_bounded_and_spread(self) -> None:
        budget = RetryBudget(0.1, random.Random(1))
        waits = [budget.backoff(100_000) for _ in range(200)]
        self.assertLessEqual(max(waits), MAX_BACKOFF_SECONDS)
        self.assertLess(min(waits), MAX_BACKOFF_SECONDS / 10)
        first_waits = [budget.backoff(1) for _ in range(200)]
        self.assertLess(max(first_waits), 0.051)
