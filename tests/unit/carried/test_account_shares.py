"""Tests the sketch of recent use by account and the shares that follow.

A sketch that grows with the number of clients, or that forgets the heaviest
one among many others, lets that client take the server again.
"""

import random
import unittest

from dragonflyshift._internal.carried.policies.account_shares import (
    MAX_ACCOUNTS,
    TIME_CONSTANT_S,
    AccountShares,
)


class AccountSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = AccountShares()

    def test_level_is_that_of_weighted_max_min_fairness(self) -> None:
        """Compares with shares that are raised together in small steps."""
        for seed in range(50):
            rng = random.Random(seed)
            shares = AccountShares()
            demands = []
            capacity = 0
            for number in range(rng.randrange(2, 12)):
                weight = rng.choice((1.0, 2.0, 4.0))
                offered = rng.randrange(1, 100)
                admitted = rng.randrange(offered)
                self._record(shares, number, offered, admitted, weight)
                demands.append((offered, weight))
                capacity += admitted
            with self.subTest(seed=seed):
                level = shares.level_per_s(0) * TIME_CONSTANT_S
                self.assertAlmostEqual(
                    level, _filled_level(demands, capacity), delta=0.02
                )

    def test_all_are_below_their_shares_if_nothing_was_refused(self) -> None:
        for number in range(20):
            self._record(self.shares, number, 3 * number + 1, 3 * number + 1)
        self.assertEqual(self.shares.count_at_share(0), 0)

    def test_memory_is_bounded_and_the_heaviest_account_stays(self) -> None:
        """Thousands of accounts with one flow each come between its flows."""
        for number in range(1, 5000):
            self._record(self.shares, number, 1, 1)
            if number % 10 == 0:
                self._record(self.shares, 0, 2, 1)
        self.assertEqual(len(self.shares), MAX_ACCOUNTS)
        self.assertFalse(self.shares.is_below_share(0, _name(0)))
        self.assertGreaterEqual(self.shares.relative_use(_name(0)), 499)
        self.assertTrue(self.shares.is_below_share(0, b'unknown'))

    def test_use_decays(self) -> None:
        self._record(self.shares, 0, 200, 100)
        self.assertFalse(self.shares.is_below_share(0, _name(0)))
        later = 10 * TIME_CONSTANT_S
        for number in (0, 1):
            self.shares.record_offer(later, _name(number), 1)
            self.shares.record_admission(later, _name(number))
        self._record(self.shares, 1, 9, 5, now=later)
        self.assertTrue(self.shares.is_below_share(later + 1, _name(0)))
        self.assertFalse(self.shares.is_below_share(later + 1, _name(1)))

    def test_clock_may_start_anywhere_and_stand_for_days(self) -> None:
        """Factors that grow with time must not overflow."""
        for now in (1e6, 2e6, 9e6):
            self._record(self.shares, 0, 4, 2, now=now)
            self._record(self.shares, 1, 1, 1, now=now)
            self.assertFalse(self.shares.is_below_share(now, _name(0)))
            self.assertAlmostEqual(
                self.shares.level_per_s(now) * TIME_CONSTANT_S, 2, places=3
            )
        self.assertTrue(self.shares.is_below_share(9e9, _name(0)))

    def _record(
        self,
        shares: AccountShares,
        number: int,
        offered: int,
        admitted: int,
        weight: float = 1,
        now: float = 0,
    ) -> None:
        for _ in range(offered):
            shares.record_offer(now, _name(number), weight)
        for _ in range(admitted):
            shares.record_admission(now, _name(number))


def _name(number: int) -> bytes:
    return number.to_bytes(4, 'big')


def _filled_level(demands: list[tuple[int, float]], capacity: float) -> float:
    """Return the level at which the shares add up to the capacity."""
    low: float = 0
    high: float = 1000
    for _ in range(20):
        level = (low + high) / 2
        if (
            sum(min(want, weight * level) for want, weight in demands)
            < capacity
        ):
            low = level
        else:
            high = level
    return low
