"""Tests the comparison of the servers of a service at a balancer.

A server that fails from its start has no history at its sidecar; it looks
fast and idle to the balancers. A comparison that suspects too many servers
empties the service.
"""

import unittest

from dragonflyshift._internal.carried.policies.server_comparison import (
    MIN_PROBE_INTERVAL_S,
    ReportedServer,
    ServerComparison,
)


def _servers(*service_ms: float, data_centers: int = 2) -> list[ReportedServer]:
    return [
        ReportedServer(number, f'dc-{number % data_centers}', each)
        for number, each in enumerate(service_ms)
    ]


class ServerComparisonTest(unittest.TestCase):
    def setUp(self) -> None:
        self.comparison = ServerComparison()

    def test_outliers_on_both_sides_are_suspicious(self) -> None:
        self._update(2, 420, *(20, 25, 40, 18) * 5)
        self.assertEqual(self.comparison.suspicious, {0, 1})

    def test_slow_and_fast_sound_servers_are_not_suspicious(self) -> None:
        self._update(12, 60, *(20, 25, 40, 18) * 5)
        self.assertEqual(self.comparison.suspicious, frozenset())

    def test_at_most_a_fifth_of_service_and_data_center(self) -> None:
        self._update(*(2,) * 9, *(20,) * 11)
        self.assertEqual(len(self.comparison.suspicious), 4)
        # Servers 0, 4 and 8 are in the same data centre of five.
        servers = _servers(
            2, *(20,) * 3, 2, *(20,) * 3, 2, *(20,) * 11, data_centers=4
        )
        self.comparison.update(0, servers)
        self.assertEqual(len(self.comparison.suspicious), 1)

    def test_change_of_all_servers_makes_none_suspicious(self) -> None:
        for service_ms in (2, 20, 900):
            self._update(*(service_ms,) * 20)
            self.assertEqual(self.comparison.suspicious, frozenset())

    def test_sound_half_of_a_failing_service_is_not_suspicious(self) -> None:
        """Sound servers are far below a median with the cost of failures."""
        self._update(*(20,) * 8, *(800,) * 12)
        self.assertEqual(self.comparison.median_ms, 20)
        self.assertEqual(len(self.comparison.suspicious), 4)
        self.assertTrue(all(each >= 8 for each in self.comparison.suspicious))

    def test_server_beyond_the_limit_is_not_preferred(self) -> None:
        self._update(*(2,) * 9, *(20,) * 11)
        self.assertEqual(self.comparison.least_service_ms(2), 20)
        self.assertEqual(self.comparison.least_service_ms(12), 0)

    def test_one_flow_probes_a_server_that_is_too_fast(self) -> None:
        """It would get no flow that shows its recovery otherwise."""
        service_ms = (2, *(20,) * 9)
        self._update(*service_ms)
        now = MIN_PROBE_INTERVAL_S
        self._update(*service_ms, now=now)
        self.assertEqual(self.comparison.suspicious, frozenset())
        self.comparison.record_flow(now, 0)
        self.assertEqual(self.comparison.suspicious, {0})
        self._update(*service_ms, now=now + 1.5 * MIN_PROBE_INTERVAL_S)
        self.assertEqual(self.comparison.suspicious, {0})
        self._update(14, *(20,) * 9, now=now)
        self.assertEqual(self.comparison.suspicious, frozenset())

    def _update(self, *service_ms: float, now: float = 0) -> None:
        self.comparison.update(now, _servers(*service_ms))
