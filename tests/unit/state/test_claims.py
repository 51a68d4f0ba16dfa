"""Tests of the claim table and of the placement cache.

They guard against a slot that is used twice or never released, and against
retransmitted first packets that are passed on to another peer.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import StateError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.state import ClaimTable, PlacementCache

_PEER_ADDRESS = Address('127.0.0.1', 4433)
_OTHER_ADDRESS = Address('127.0.0.1', 4434)


class ClaimTableTest(unittest.TestCase):
    def test_claim_is_redeemed_once_and_within_its_lease(self) -> None:
        table = ClaimTable(lease_s=2)
        claim, late = table.grant(10), table.grant(10)
        self.assertEqual(claim.expires_at, 12)
        self.assertTrue(table.redeem(claim.claim_id, 11.9))
        self.assertFalse(table.redeem(claim.claim_id, 11.9))
        self.assertFalse(table.redeem(late.claim_id, 12))
        self.assertFalse(table.redeem(0, 11))
        self.assertEqual(table.expire(12), 1)

    def test_claims_are_bounded_and_dropped_after_a_pause(self) -> None:
        table = ClaimTable(lease_s=2, limit=2)
        claims = [table.grant(0), table.grant(0)]
        with self.assertRaises(StateError):
            table.grant(0)
        self.assertEqual(table.drop_all(), 2)
        self.assertFalse(table.redeem(claims[0].claim_id, 1))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.sampled_from(('grant', 'redeem', 'expire', 'wait'))))
    def test_each_slot_is_used_or_released_exactly_once(
        self,
        steps: list[str],
    ) -> None:
        table = ClaimTable(lease_s=2)
        now, granted, used, released = 0, [], 0, 0
        for step in steps:
            if step == 'grant':
                granted.append(table.grant(now).claim_id)
            elif step == 'redeem' and granted:
                used += table.redeem(granted[len(granted) // 2], now)
            elif step == 'expire':
                released += table.expire(now)
            else:
                now += 1
        released += table.expire(now + 2)
        self.assertEqual(used + released, len(granted))


class PlacementCacheTest(unittest.TestCase):
    def test_placement_is_found_until_it_expires(self) -> None:
        cache = PlacementCache(lifetime=10)
        cache.add(b'flow', _PEER_ADDRESS, 0)
        self.assertEqual(cache.get(b'flow', 9.9), _PEER_ADDRESS)
        self.assertIsNone(cache.get(b'flow', 10))
        self.assertIsNone(cache.get(b'other', 0))

    def test_later_placement_replaces_and_renews(self) -> None:
        cache = PlacementCache(lifetime=10)
        cache.add(b'flow', _PEER_ADDRESS, 0)
        cache.add(b'flow', _OTHER_ADDRESS, 5)
        self.assertEqual(cache.get(b'flow', 14), _OTHER_ADDRESS)

    def test_cache_is_bounded_and_evicts_the_oldest(self) -> None:
        cache = PlacementCache(limit=2, lifetime=10)
        for index, key in enumerate((b'a', b'b', b'c')):
            cache.add(key, _PEER_ADDRESS, index)
        self.assertEqual(len(cache), 2)
        self.assertIsNone(cache.get(b'a', 2))
        cache.add(b'd', _PEER_ADDRESS, 50)
        self.assertEqual(len(cache), 1)
