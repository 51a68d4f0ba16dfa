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
        self.first = self.views.candidates(self.service)

    def _again(self):
        return self.views.candidates(self.service)

    def test_same_tuple_while_nothing_changes(self):
        self.assertIs(self._again(), self.first)
        self.views.heard(self.address)
        self.assertIs(self._again(), self.first)

    def test_word_of_a_sidecar_changes_the_candidates(self):
        leaving = MemberRecord(
            self.address,
            Incarnation(1),
            MemberState.LEAVING,
        )
        self.views.merge(self.service.tag, encode_digest([leaving]))
        self.assertIs(self._again()[0].state, MemberState.LEAVING)

    def test_own_traffic_changes_the_candidates_and_back(self):
        self.views.refused(self.address)
        self.assertFalse(self._again()[0].reachable)
        self.now = 60
        self.assertTrue(self._again()[0].reachable)
        self.views.forwarded_new(self.address)
        self.assertFalse(self._again()[0].reachable)
        self.views.heard(self.address)
        self.assertEqual(self._again(), self.first)

    def test_new_document_changes_the_candidates(self):
        self.service = evolve(
            self.service,
            version=2,
            endpoints=self.service.endpoints[1:],
        )
        self.assertEqual(self._again(), self.first[1:])

    def test_pause_casts_doubt(self):
        word = MemberRecord(self.address, Incarnation(1), MemberState.ALIVE)
        self.views.merge(self.service.tag, encode_digest([word]))
        self.views.reset()
        self.assertIs(self._again()[0].state, MemberState.SUSPECT)
