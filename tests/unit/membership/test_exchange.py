"""Tests of the choice of the member records that are sent.

They guard against the spread of outdated records, and against records of a
large view that are never sent.
"""

import random
import unittest

from dragonflyshift._internal.membership import MemberTable, reported_view_hash
from dragonflyshift._internal.membership.exchange import ViewExchange
from dragonflyshift._internal.membership.header import (
    NO_VIEW_HASH,
    MessageHeader,
)
from dragonflyshift._internal.membership.messages import MAX_RECORDS
from tests.lib.members import address_of, build_member


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(build_member(1))
        self.exchange = ViewExchange(
            self.table,
            7,
            random.Random(1),
            int,
            lambda _peer, _version: None,
        )

    def _header(self, view_hash, number=2):
        return MessageHeader(7, 1, build_member(number), view_hash, 1)

    def test_outdated_view_is_not_reported(self):
        self.table.merge([build_member(2)], 0)
        self.assertEqual(reported_view_hash(self.table), self.table.hash)
        self.assertTrue(
            self.exchange.missing_records(self._header(NO_VIEW_HASH))
        )
        self.table.mark_records_outdated(0)
        self.assertEqual(reported_view_hash(self.table), NO_VIEW_HASH)
        self.assertFalse(
            self.exchange.missing_records(self._header(NO_VIEW_HASH))
        )
        self.table.merge([build_member(2)], 1)
        self.assertEqual(reported_view_hash(self.table), self.table.hash)

    def test_large_view_is_sent_in_parts_that_cover_it(self):
        members = [build_member(number) for number in range(2, 300)]
        self.table.merge(members, 0)
        self.table.merge([build_member(250, epoch=1)], 9)
        received_addresses = set()
        while len(received_addresses) < len(members) + 1:
            records = self.exchange.missing_records(
                self._header(NO_VIEW_HASH, 123)
            )
            self.assertLessEqual(len(records), MAX_RECORDS)
            addresses = {record.address for record in records}
            self.assertEqual(len(addresses), len(records))
            self.assertLessEqual(
                {address_of(1), address_of(123), address_of(250)},
                addresses,
            )
            received_addresses |= addresses
