"""Tests the rate limit of cold servers.

A limit that counts in fixed seconds, or forgets flows at a change of the rate,
lets twice the limit through within a second. One that opens too late delays the
ramp-up of a data centre that returns.
"""

import random
import unittest

from dragonflyshift._internal.carried.policies.cold_pace import (
    WINDOW_S,
    ColdPace,
)

_FOREVER = float('inf')


def _offer(pace: ColdPace, now: float) -> bool:
    is_open = pace.is_open(now)
    if is_open:
        pace.record_start(now)
    return is_open


class ColdPaceTest(unittest.TestCase):
    def test_no_window_exceeds_the_limit_and_none_is_wasted(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            limit = rng.choice((1, 5, 12.5, 30))
            pace = ColdPace(limit, cold_until=_FOREVER)
            now: float = 0
            starts: list[float] = []
            for _ in range(400):
                now += rng.expovariate(rng.choice((10, 200)))
                recent = sum(now < start + WINDOW_S for start in starts)
                opens_at = pace.opens_at(now)
                if _offer(pace, now):
                    self.assertLessEqual(recent + 1, limit)
                    self.assertEqual(opens_at, now)
                    starts.append(now)
                else:
                    self.assertGreater(recent + 1, limit)
                    self.assertFalse(pace.is_open(opens_at - 0.001))
                    self.assertTrue(pace.is_open(opens_at + 0.001))

    def test_late_delivery_stays_within_the_limit(self) -> None:
        """The first flow arrives 50 ms late, the next one at once."""
        pace = ColdPace(1, cold_until=_FOREVER)
        self.assertTrue(_offer(pace, 0))
        self.assertFalse(_offer(pace, 1.04))

    def test_limit_ends_with_the_cold_time(self) -> None:
        pace = ColdPace(0.5, cold_until=2)
        self.assertFalse(pace.is_open(1.9))
        self.assertEqual(pace.opens_at(1.9), 2)
        self.assertTrue(pace.is_open(2))

    def test_change_of_the_limit_counts_earlier_flows(self) -> None:
        pace = ColdPace(_FOREVER, cold_until=_FOREVER)
        for number in range(6):
            self.assertTrue(_offer(pace, number / 10))
        pace.limit = 4
        self.assertFalse(_offer(pace, 0.6))
        self.assertAlmostEqual(pace.opens_at(0.6), 0.2 + WINDOW_S)

    def test_unknown_time_before_counts_as_used_up(self) -> None:
        pace = ColdPace.after_starts(0.5, (0.4, 0.2), known_since=0)
        pace.limit = 3
        pace.cold_until = _FOREVER
        self.assertEqual(pace.opens_at(0.5), WINDOW_S)
        self.assertTrue(_offer(pace, WINDOW_S))
        self.assertFalse(_offer(pace, WINDOW_S + 0.1))
