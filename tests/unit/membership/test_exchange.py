import random
import unittest

from dragonflyshift._internal.membership import MemberTable, view_hash
from dragonflyshift._internal.membership.exchange import Exchange
from dragonflyshift._internal.membership.greeting import NO_VIEW, Greeting
from dragonflyshift._internal.membership.messages import MAX_WORDS
from tests.lib.members import address_of, build_member


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(build_member(1))
        self.exchange = Exchange(
            self.table,
            7,
            random.Random(1),
            int,
            lambda _peer, _version: None,
        )

    def _greeting(self, view, number=2):
        return Greeting(7, 1, build_member(number), view, 1)

    def test_view_in_doubt_is_neither_told_nor_spread(self):
        self.table.merge([build_member(2)], 0)
        self.assertEqual(view_hash(self.table), self.table.hash)
        self.assertTrue(self.exchange.words_for(self._greeting(NO_VIEW)))
        self.table.forget_beliefs(0)
        self.assertEqual(view_hash(self.table), NO_VIEW)
        self.assertFalse(self.exchange.words_for(self._greeting(NO_VIEW)))
        self.table.merge([build_member(2)], 1)
        self.assertEqual(view_hash(self.table), self.table.hash)

    def test_large_view_is_told_in_parts_that_cover_it(self):
        members = [build_member(number) for number in range(2, 300)]
        self.table.merge(members, 0)
        self.table.merge([build_member(250, epoch=1)], 9)
        told = set()
        while len(told) < len(members) + 1:
            words = self.exchange.words_for(self._greeting(NO_VIEW, 123))
            self.assertLessEqual(len(words), MAX_WORDS)
            addresses = {word.address for word in words}
            self.assertEqual(len(addresses), len(words))
            self.assertLessEqual(
                {address_of(1), address_of(123), address_of(250)},
                addresses,
            )
            told |= addresses
