"""Tests the order in which endpoints are offered a new flow.

A wrong order builds queues at slow, cold or distant servers while others are
idle, or sends a whole burst to the server that was last reported idle.
"""

import random
import unittest
from collections import Counter
from typing import Any

from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.policies.placement import (
    LeastRequests,
    PlacementOption,
)
from tests.lib.carried import build_load, build_record

_REMOTE_REQUESTS = 1.2


def _option(number: int, **changes: Any) -> PlacementOption:
    attributes: dict[str, Any] = {
        'record': build_record(number),
        'load': build_load(),
        'age_ms': 0,
        'sent_since': 0,
        'is_local': True,
        'is_suspect': False,
        'is_cold': False,
        **changes,
    }
    return PlacementOption(**attributes)


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random(1)

    def test_idle_server_precedes_a_busy_one(self) -> None:
        busy = _option(1, load=build_load(busy=4))
        free = _option(2)
        self.assertEqual(self._order(busy, free), [free, busy])

    def test_leaving_and_down_servers_are_omitted(self) -> None:
        leaving = _option(1, record=build_record(1, is_leaving=True))
        lost = _option(2, load=build_load(state=BackendState.DOWN))
        stopping = _option(3, load=build_load(state=BackendState.LEAVING))
        ready = _option(4)
        ordered = self._order(leaving, lost, stopping, ready)
        self.assertEqual(ordered, [ready])

    def test_slow_server_follows_a_busy_fast_one(self) -> None:
        slow = _option(1, load=build_load(service_ms=250.0))
        ready = _option(2, load=build_load(busy=4))
        self.assertEqual(self._order(slow, ready), [ready, slow])

    def test_cold_server_follows_a_warm_one(self) -> None:
        cold = _option(1, is_cold=True)
        warm = _option(2)
        self.assertEqual(self._order(cold, warm), [warm, cold])

    def test_suspect_sidecar_is_used_only_as_the_last_one(self) -> None:
        silent = _option(1, is_suspect=True)
        busy = _option(2, load=build_load(busy=12))
        self.assertEqual(self._order(silent, busy), [busy, silent])
        self.assertEqual(self._order(silent), [silent])

    def test_suspicious_server_follows_a_short_queue_and_is_not_idle(self):
        """A server that fails at once would get all flows as the idle one."""
        failing = _option(1, load=build_load(service_ms=2), is_suspicious=True)
        queued = _option(2, load=build_load(busy=6))
        self.assertFalse(failing.is_likely_idle)
        self.assertEqual(self._order(failing, queued), [queued, failing])

    def test_assumed_service_time_replaces_a_shorter_report(self) -> None:
        failing = _option(
            1, load=build_load(service_ms=2), least_service_ms=50, sent_since=4
        )
        idle = _option(2)
        self.assertEqual(self._order(failing, idle), [idle, failing])

    def test_remote_data_centre_only_if_it_is_much_faster(self) -> None:
        far = _option(1, is_local=False)
        near = _option(2, load=build_load(busy=3))
        full = _option(3, load=build_load(busy=8))
        self.assertEqual(self._order(far, near)[0], near)
        self.assertEqual(self._order(far, full)[0], far)

    def test_reported_load_decreases_with_the_age_of_the_report(self) -> None:
        old = _option(1, load=build_load(busy=6), age_ms=400)
        new = _option(2, load=build_load(busy=5))
        self.assertEqual(self._order(old, new)[0], old)

    def test_burst_between_two_reports_is_spread_evenly(self) -> None:
        options = [_option(number) for number in range(1, 8)]
        counts: Counter[str] = Counter()
        for _ in range(42):
            chosen = self._order(*options)[0]
            chosen.sent_since += 1
            counts[chosen.record.name] += 1
        self.assertEqual(set(counts.values()), {6})

    def test_usual_variation_of_service_times_decides_nothing(self) -> None:
        """Load pattern: short requests at servers of equal speed.

        If the shortest measured time got each flow, its server would have a
        queue while servers with a slightly longer one are idle.
        """
        options = [
            _option(number, load=build_load(service_ms=20.0 + number))
            for number in range(1, 8)
        ]
        chosen = Counter(
            self._order(*options)[0].record.name for _ in range(700)
        )
        self.assertGreater(min(chosen.values()), 50)

    def test_order_depends_on_no_fixed_time(self) -> None:
        """Work that is ten times as short or as long gets the same order."""
        for scale in (0.1, 1, 10):
            slow = _option(1, load=build_load(service_ms=80 * scale))
            queued = _option(2, load=build_load(busy=5, service_ms=20 * scale))
            ended = _option(
                3,
                load=build_load(busy=5, service_ms=20 * scale),
                age_ms=30 * scale,
            )
            idle = _option(4, load=build_load(service_ms=25 * scale))
            with self.subTest(scale=scale):
                self.assertEqual(
                    self._order(slow, queued, ended, idle),
                    [idle, ended, queued, slow],
                )

    def test_servers_without_a_report_are_usual(self) -> None:
        unknown = _option(1, load=None)
        slow = _option(2, load=build_load(service_ms=90.0))
        usual = _option(3, load=build_load(busy=1))
        self.assertEqual(
            self._order(slow, usual, unknown), [unknown, usual, slow]
        )

    def test_server_with_fewer_open_flows_comes_first(self) -> None:
        crowded = _option(1, load=build_load(open_flows=60))
        empty = _option(2)
        self.assertEqual(self._order(crowded, empty)[0], empty)

    def _order(self, *options: PlacementOption) -> list[PlacementOption]:
        return LeastRequests().order(options, _REMOTE_REQUESTS, self.rng)
