"""Tests of the encoding of membership messages.

They guard against messages that exceed a datagram, and against malformed
messages that raise an unexpected exception.
"""

import contextlib
import unittest

import msgpack
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership import messages
from dragonflyshift._internal.membership.header import (
    MAX_MESSAGE_BYTES,
    MessageHeader,
)
from tests.lib.members import address_of, build_member

reproducible = settings(derandomize=True, deadline=None, max_examples=100)
HEADER = MessageHeader(7, 9, build_member(), bytes(8), 3)
RECORDS = (build_member(1), build_member(2))
DECODERS = (
    messages.decode_probe,
    messages.decode_ack,
    messages.decode_indirect_request,
)
ENCODED = (
    messages.encode_probe(messages.Probe(HEADER, RECORDS)),
    messages.encode_ack(messages.Ack(HEADER, RECORDS)),
    messages.encode_indirect_request(
        messages.IndirectProbeRequest(HEADER, address_of(5))
    ),
)
fields = st.recursive(
    st.none() | st.booleans() | st.integers(-1, 2**64 - 1) | st.binary(),
    lambda inner: st.lists(inner, max_size=9),
    max_leaves=9,
)


class MessagesTest(unittest.TestCase):
    def _check_decoders(self, raw):
        for decode in DECODERS:
            with contextlib.suppress(MembershipError):
                decode(raw)

    def test_round_trip(self):
        loaded = evolve(
            HEADER,
            sender=evolve(HEADER.sender, free_slots=2, queued=70000),
        )
        probe = messages.Probe(HEADER, RECORDS)
        ack = messages.Ack(loaded, RECORDS)
        request = messages.IndirectProbeRequest(HEADER, address_of(5))
        self.assertEqual(
            messages.decode_probe(messages.encode_probe(probe)),
            probe,
        )
        self.assertEqual(messages.decode_ack(messages.encode_ack(ack)), ack)
        self.assertEqual(
            messages.decode_indirect_request(
                messages.encode_indirect_request(request)
            ),
            request,
        )

    def test_largest_digest_fits_a_datagram(self):
        records = tuple(
            build_member(index) for index in range(messages.MAX_RECORDS)
        )
        raw = messages.encode_ack(messages.Ack(HEADER, records))
        self.assertLessEqual(len(raw), MAX_MESSAGE_BYTES)
        too_many = (*records, build_member(messages.MAX_RECORDS))
        with self.assertRaises(MembershipError):
            messages.decode_ack(
                messages.encode_ack(messages.Ack(HEADER, too_many))
            )

    @reproducible
    @given(st.binary(max_size=120))
    def test_random_bytes_raise_only_membership_errors(self, raw):
        self._check_decoders(raw)

    @reproducible
    @given(st.lists(fields, max_size=9))
    def test_wrong_fields_raise_only_membership_errors(self, array):
        self._check_decoders(msgpack.packb(array))

    @reproducible
    @given(st.sampled_from(ENCODED), st.data())
    def test_damaged_messages_raise_only_membership_errors(self, raw, source):
        index = source.draw(st.integers(0, len(raw) - 1))
        byte = source.draw(st.integers(0, 255))
        self._check_decoders(raw[:index])
        self._check_decoders(
            b''.join((raw[:index], bytes((byte,)), raw[index + 1 :])),
        )

    def test_oversized_message_is_refused(self):
        with self.assertRaises(MembershipError):
            messages.decode_probe(bytes(MAX_MESSAGE_BYTES + 1))
