"""Tests that all balancers choose the same few candidates for a flow.

If copies of one first packet reached different candidates, two backend
servers could accept the same flow.
"""

import collections
import unittest
from collections.abc import Iterable

from dragonflyshift._internal.carried.policies.candidates import (
    LOCAL_CANDIDATES,
    REMOTE_CANDIDATES,
    CandidateRing,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from tests.lib.carried import DATA_CENTER, SERVICE, build_key, build_record

_ALL = LOCAL_CANDIDATES + REMOTE_CANDIDATES


def _endpoints(local: int, remote: int) -> tuple[EndpointRecord, ...]:
    return tuple(
        build_record(
            number,
            data_center=DATA_CENTER if number <= local else 'elsewhere',
        )
        for number in range(1, local + remote + 1)
    )


class CandidateRingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ring = CandidateRing(DATA_CENTER)

    def test_small_service_is_returned_in_full(self) -> None:
        endpoints = _endpoints(3, 4)
        chosen = self.ring.choose(SERVICE, endpoints, build_key())
        self.assertEqual(chosen, endpoints)

    def test_large_service_yields_twelve_mostly_local_candidates(self) -> None:
        chosen = self._choose(_endpoints(17, 33), 1)
        local = [rec for rec in chosen if rec.data_center == DATA_CENTER]
        self.assertEqual((len(local), len(chosen)), (LOCAL_CANDIDATES, _ALL))
        self.assertEqual(len({rec.name for rec in chosen}), _ALL)

    def test_remote_endpoints_replace_missing_local_ones(self) -> None:
        chosen = self._choose(_endpoints(2, 48), 1)
        self.assertEqual(len(chosen), _ALL)

    def test_two_balancers_choose_the_same_candidates(self) -> None:
        endpoints = _endpoints(17, 33)
        other = CandidateRing(DATA_CENTER)
        self.assertEqual(
            self._choose(endpoints, 5),
            other.choose(SERVICE, tuple(reversed(endpoints)), build_key(5)),
        )

    def test_flows_are_spread_over_all_local_endpoints(self) -> None:
        endpoints = _endpoints(17, 33)
        counts = collections.Counter(
            record.name
            for number in range(4000)
            for record in self._choose(endpoints, number)
            if record.data_center == DATA_CENTER
        )
        self.assertEqual(len(counts), 17)
        mean = 4000 * LOCAL_CANDIDATES / 17
        self.assertLess(max(counts.values()), 1.15 * mean)

    def test_changed_endpoints_replace_the_cached_rings(self) -> None:
        self._choose(_endpoints(17, 33), 1)
        fewer = _endpoints(13, 0)
        self.assertLess(_names(self._choose(fewer, 1)), _names(fewer))

    def _choose(
        self,
        endpoints: tuple[EndpointRecord, ...],
        number: int,
    ) -> list[EndpointRecord]:
        return list(self.ring.choose(SERVICE, endpoints, build_key(number)))


def _names(records: Iterable[EndpointRecord]) -> set[str]:
    return {record.name for record in records}
