"""Candidates for a flow: few of many, the same for all copies."""

import collections
import unittest
from collections.abc import Iterable

from dragonflyshift._internal.carried.policies.candidates import (
    FAR_CANDIDATES,
    NEAR_CANDIDATES,
    CandidateRing,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from tests.lib.carried import DATA_CENTER, SERVICE, build_key, build_record

_ALL = NEAR_CANDIDATES + FAR_CANDIDATES


def _endpoints(near: int, far: int) -> tuple[EndpointRecord, ...]:
    return tuple(
        build_record(
            number,
            data_center=DATA_CENTER if number <= near else 'elsewhere',
        )
        for number in range(1, near + far + 1)
    )


class CandidateRingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ring = CandidateRing(DATA_CENTER)

    def test_small_service_is_rated_in_full(self) -> None:
        endpoints = _endpoints(3, 4)
        chosen = self.ring.choose(SERVICE, endpoints, build_key())
        self.assertEqual(chosen, endpoints)

    def test_large_service_gives_a_dozen_mostly_near(self) -> None:
        chosen = self._choose(_endpoints(17, 33), 1)
        near = [rec for rec in chosen if rec.data_center == DATA_CENTER]
        self.assertEqual((len(near), len(chosen)), (NEAR_CANDIDATES, _ALL))
        self.assertEqual(len({rec.name for rec in chosen}), _ALL)

    def test_far_endpoints_fill_up_where_few_are_near(self) -> None:
        chosen = self._choose(_endpoints(2, 48), 1)
        self.assertEqual(len(chosen), _ALL)

    def test_copies_of_a_packet_get_the_same_elsewhere(self) -> None:
        endpoints = _endpoints(17, 33)
        other = CandidateRing(DATA_CENTER)
        self.assertEqual(
            self._choose(endpoints, 5),
            other.choose(SERVICE, tuple(reversed(endpoints)), build_key(5)),
        )

    def test_flows_spread_over_all_endpoints(self) -> None:
        endpoints = _endpoints(17, 33)
        counts = collections.Counter(
            record.name
            for number in range(4000)
            for record in self._choose(endpoints, number)
            if record.data_center == DATA_CENTER
        )
        self.assertEqual(len(counts), 17)
        mean = 4000 * NEAR_CANDIDATES / 17
        self.assertLess(max(counts.values()), 1.15 * mean)

    def test_a_changed_view_is_taken_over(self) -> None:
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
