import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import StateError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.state import ClaimTable, PlacementMemory

_PEER = Address('127.0.0.1', 4433)
_OTHER = Address('127.0.0.1', 4434)


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
    def test_each_slot_is_used_or_given_back_exactly_once(
        self,
        steps: list[str],
    ) -> None:
        table = ClaimTable(lease_s=2)
        now, granted, used, returned = 0, [], 0, 0
        for step in steps:
            if step == 'grant':
                granted.append(table.grant(now).claim_id)
            elif step == 'redeem' and granted:
                used += table.redeem(granted[len(granted) // 2], now)
            elif step == 'expire':
                returned += table.expire(now)
            else:
                now += 1
        returned += table.expire(now + 2)
        self.assertEqual(used + returned, len(granted))


class PlacementMemoryTest(unittest.TestCase):
    def test_choice_is_found_until_it_expires(self) -> None:
        memory = PlacementMemory(lifetime=10)
        memory.remember(b'flow', _PEER, 0)
        self.assertEqual(memory.find(b'flow', 9.9), _PEER)
        self.assertIsNone(memory.find(b'flow', 10))
        self.assertIsNone(memory.find(b'other', 0))

    def test_later_choice_replaces_and_renews(self) -> None:
        memory = PlacementMemory(lifetime=10)
        memory.remember(b'flow', _PEER, 0)
        memory.remember(b'flow', _OTHER, 5)
        self.assertEqual(memory.find(b'flow', 14), _OTHER)

    def test_memory_is_bounded_and_forgets_the_oldest(self) -> None:
        memory = PlacementMemory(limit=2, lifetime=10)
        for index, key in enumerate((b'a', b'b', b'c')):
            memory.remember(key, _PEER, index)
        self.assertEqual(len(memory), 2)
        self.assertIsNone(memory.find(b'a', 2))
        memory.remember(b'd', _PEER, 50)
        self.assertEqual(len(memory), 1)
