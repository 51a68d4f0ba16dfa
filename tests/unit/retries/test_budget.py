"""The retry budget and its backoff."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.retries import Budget
from dragonflyshift._internal.retries.budget import (
    BUCKET_TOKENS,
    FIRST_TOKENS,
    FLOOR_PER_SECOND,
    MAX_BACKOFF_SECONDS,
)


class BudgetTests(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0, 3)), max_size=200),
        st.sampled_from((0.1, 0.5)),
    )
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_retries_stay_within_ratio_and_floor(
        self,
        steps: list[tuple[bool, float]],
        ratio: float,
    ) -> None:
        budget = Budget(ratio, random.Random(1))
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
            earned = ratio * first_attempts + FLOOR_PER_SECOND * now
            self.assertLessEqual(retries, FIRST_TOKENS + earned + 1e-6)

    def test_a_long_pause_does_not_pay_for_a_storm(self) -> None:
        budget = Budget(0.1, random.Random(1))
        budget.deposit(0)
        allowed = sum(budget.withdraw(86400) for _ in range(100))
        self.assertEqual(allowed, BUCKET_TOKENS)

    def test_clock_that_stands_still_or_steps_back_earns_nothing(self) -> None:
        budget = Budget(0.1, random.Random(1))
        self.assertTrue(budget.withdraw(100))
        self.assertFalse(budget.withdraw(100))
        self.assertFalse(budget.withdraw(50))

    def test_ratio_zero_turns_retries_off(self) -> None:
        budget = Budget(0, random.Random(1))
        budget.deposit(0)
        self.assertFalse(budget.withdraw(1000))

    def test_backoff_is_bounded_and_spread(self) -> None:
        budget = Budget(0.1, random.Random(1))
        waits = [budget.backoff(100_000) for _ in range(200)]
        self.assertLessEqual(max(waits), MAX_BACKOFF_SECONDS)
        self.assertLess(min(waits), MAX_BACKOFF_SECONDS / 10)
        firsts = [budget.backoff(1) for _ in range(200)]
        self.assertLess(max(firsts), 0.051)
