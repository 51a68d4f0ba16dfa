"""Peers that asked in vain for a slot."""

import unittest

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.routing import OfferBook
from dragonflyshift._internal.routing.offers import ASK_SECONDS, MAX_ASKERS

FIRST = Address('192.0.2.1', 1001)
SECOND = Address('192.0.2.1', 1002)


class OfferBookTests(unittest.TestCase):
    def test_first_asker_first_and_each_once(self) -> None:
        book = OfferBook()
        for asker in (FIRST, SECOND, FIRST):
            book.note(asker, now=0)
        taken = [book.take(now=1) for _ in range(3)]
        self.assertEqual(taken, [FIRST, SECOND, None])

    def test_old_askers_are_left_out(self) -> None:
        book = OfferBook()
        book.note(FIRST, now=0)
        book.note(SECOND, now=5)
        self.assertEqual(book.take(now=ASK_SECONDS + 1), SECOND)

    def test_asking_again_keeps_the_asker_fresh(self) -> None:
        book = OfferBook()
        book.note(FIRST, now=0)
        book.note(FIRST, now=ASK_SECONDS)
        self.assertEqual(book.take(now=ASK_SECONDS + 1), FIRST)

    def test_bounded(self) -> None:
        book = OfferBook()
        for port in range(1, 2 * MAX_ASKERS):
            book.note(Address('192.0.2.1', port), now=0)
        taken = 0
        while book.take(now=0):
            taken += 1
        self.assertEqual(taken, MAX_ASKERS)
