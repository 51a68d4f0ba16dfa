"""Tests of the queue of peers whose claims were refused.

They guard against offers to the wrong peer, outdated offers and a queue that
grows without limit.
"""

import unittest

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.routing import OfferQueue
from dragonflyshift._internal.routing.offers import (
    MAX_PEERS,
    REFUSAL_LIFETIME_SECONDS,
)

FIRST_PEER = Address('192.0.2.1', 1001)
SECOND_PEER = Address('192.0.2.1', 1002)


class OfferBookTests(unittest.TestCase):
    def test_oldest_peer_first_and_each_once(self) -> None:
        queue = OfferQueue()
        for peer in (FIRST_PEER, SECOND_PEER, FIRST_PEER):
            queue.add(peer, now=0)
        taken = [queue.pop(now=1) for _ in range(3)]
        self.assertEqual(taken, [FIRST_PEER, SECOND_PEER, None])

    def test_expired_peers_are_skipped(self) -> None:
        queue = OfferQueue()
        queue.add(FIRST_PEER, now=0)
        queue.add(SECOND_PEER, now=5)
        self.assertEqual(
            queue.pop(now=REFUSAL_LIFETIME_SECONDS + 1), SECOND_PEER
        )

    def test_adding_a_peer_again_renews_its_time(self) -> None:
        queue = OfferQueue()
        queue.add(FIRST_PEER, now=0)
        queue.add(FIRST_PEER, now=REFUSAL_LIFETIME_SECONDS)
        self.assertEqual(
            queue.pop(now=REFUSAL_LIFETIME_SECONDS + 1), FIRST_PEER
        )

    def test_number_of_peers_is_bounded(self) -> None:
        queue = OfferQueue()
        for port in range(1, 2 * MAX_PEERS):
            queue.add(Address('192.0.2.1', port), now=0)
        taken = 0
        while queue.pop(now=0):
            taken += 1
        self.assertEqual(taken, MAX_PEERS)
