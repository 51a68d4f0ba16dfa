"""The candidates that a balancer derives from its view of the endpoints.

Guards against a view that misses a change of an endpoint, and against one that
is rebuilt without a change, which would make candidate choice compute its
cached data again for every packet.
"""

import unittest

from attrs import evolve

from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.membership import encode_digest
from dragonflyshift._internal.models import (
    Incarnation,
    MemberRecord,
    MemberState,
)
from tests.lib.builders import build_service


class ViewsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0
        self.views = ServiceViews(lambda: self.now)
        self.service = build_service()
        self.address = self.service.endpoints[0].address
        self.initial = self.views.candidates(self.service)

    def _candidates(self):
        return self.views.candidates(self.service)

    def test_unchanged_view_returns_the_same_tuple(self):
        self.assertIs(self._candidates(), self.initial)
        self.views.record_datagram(self.address)
        self.assertIs(self._candidates(), self.initial)

    def test_merged_digest_changes_the_candidates(self):
        leaving = MemberRecord(
            self.address,
            Incarnation(1),
            MemberState.LEAVING,
        )
        self.views.merge(self.service.tag, encode_digest([leaving]))
        self.assertIs(self._candidates()[0].state, MemberState.LEAVING)

    def test_own_traffic_changes_reachability_both_ways(self):
        self.views.record_refusal(self.address)
        self.assertFalse(self._candidates()[0].reachable)
        self.now = 60
        self.assertTrue(self._candidates()[0].reachable)
        self.views.record_new_flow(self.address)
        self.assertFalse(self._candidates()[0].reachable)
        self.views.record_datagram(self.address)
        self.assertEqual(self._candidates(), self.initial)

    def test_new_service_document_changes_the_candidates(self):
        self.service = evolve(
            self.service,
            version=2,
            endpoints=self.service.endpoints[1:],
        )
        self.assertEqual(self._candidates(), self.initial[1:])

    def test_reset_after_a_pause_marks_members_suspect(self):
        record = MemberRecord(self.address, Incarnation(1), MemberState.ALIVE)
        self.views.merge(self.service.tag, encode_digest([record]))
        self.views.reset()
        self.assertIs(self._candidates()[0].state, MemberState.SUSPECT)
