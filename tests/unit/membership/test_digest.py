"""Tests of the encoding of member records.

They guard against equal views with different bytes, and against malformed
digests that are accepted or raise an unexpected exception.
"""

import unittest

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership import (
    HASH_BYTES,
    decode_digest,
    encode_digest,
    hash_records,
)
from dragonflyshift._internal.membership.digest import RECORD_BYTES
from dragonflyshift._internal.models import MemberState
from tests.lib.members import build_member

reproducible = settings(derandomize=True, deadline=None, max_examples=100)
counters = st.integers(0, 2**32 - 1)
members = st.lists(
    st.builds(
        build_member,
        st.integers(0, 65535),
        counters,
        counters,
        st.sampled_from(MemberState),
    ),
    max_size=20,
    unique_by=lambda record: record.address,
)


class DigestTest(unittest.TestCase):
    @reproducible
    @given(members)
    def test_round_trip_in_any_order(self, records):
        raw = encode_digest(records)
        self.assertEqual(raw, encode_digest(list(reversed(records))))
        self.assertEqual(len(raw), RECORD_BYTES * len(records))
        self.assertEqual(set(decode_digest(raw)), set(records))

    def test_load_does_not_change_the_hash(self):
        member = build_member()
        loaded = evolve(member, free_slots=3, queued=9)
        self.assertEqual(hash_records([member]), hash_records([loaded]))
        self.assertEqual(len(hash_records([member])), HASH_BYTES)
        leaving = evolve(member, state=MemberState.LEAVING)
        self.assertNotEqual(hash_records([member]), hash_records([leaving]))

    @reproducible
    @given(st.binary(max_size=200))
    def test_random_bytes_raise_only_membership_errors(self, raw):
        try:
            records = decode_digest(raw)
        except MembershipError:
            return
        self.assertEqual(encode_digest(records), raw)

    @reproducible
    @given(members.filter(len), st.data())
    def test_flipped_byte_stays_canonical_or_is_refused(self, records, source):
        raw = bytearray(encode_digest(records))
        index = source.draw(st.integers(0, len(raw) - 1))
        raw[index] ^= source.draw(st.integers(1, 255))
        try:
            decoded = decode_digest(bytes(raw))
        except MembershipError:
            return
        self.assertEqual(encode_digest(decoded), bytes(raw))

    def test_too_many_records_are_refused(self):
        with self.assertRaises(MembershipError):
            decode_digest(bytes(RECORD_BYTES) * 8193)
