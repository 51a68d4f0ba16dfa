import contextlib
import unittest

import msgpack
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership import messages as wire
from dragonflyshift._internal.membership.greeting import (
    MAX_MESSAGE_BYTES,
    Greeting,
)
from tests.lib.members import address_of, build_member

steady = settings(derandomize=True, deadline=None, max_examples=100)
GREETING = Greeting(7, 9, build_member(), bytes(8), 3)
WORDS = (build_member(1), build_member(2))
DECODERS = (
    wire.decode_probe,
    wire.decode_ack,
    wire.decode_probe_via,
)
ENCODED = (
    wire.encode_probe(wire.Probe(GREETING, WORDS)),
    wire.encode_ack(wire.Ack(GREETING, WORDS)),
    wire.encode_probe_via(wire.ProbeVia(GREETING, address_of(5))),
)
fields = st.recursive(
    st.none() | st.booleans() | st.integers(-1, 2**64 - 1) | st.binary(),
    lambda inner: st.lists(inner, max_size=9),
    max_leaves=9,
)


class MessagesTest(unittest.TestCase):
    def _refused_or_decoded(self, raw):
        for decode in DECODERS:
            with contextlib.suppress(MembershipError):
                decode(raw)

    def test_round_trip(self):
        loaded = evolve(
            GREETING,
            sender=evolve(GREETING.sender, free_slots=2, queued=70000),
        )
        probe = wire.Probe(GREETING, WORDS)
        ack = wire.Ack(loaded, WORDS)
        via = wire.ProbeVia(GREETING, address_of(5))
        self.assertEqual(
            wire.decode_probe(wire.encode_probe(probe)),
            probe,
        )
        self.assertEqual(wire.decode_ack(wire.encode_ack(ack)), ack)
        self.assertEqual(
            wire.decode_probe_via(wire.encode_probe_via(via)),
            via,
        )

    def test_largest_digest_fits_a_datagram(self):
        words = tuple(build_member(index) for index in range(wire.MAX_WORDS))
        raw = wire.encode_ack(wire.Ack(GREETING, words))
        self.assertLessEqual(len(raw), MAX_MESSAGE_BYTES)
        more = (*words, build_member(wire.MAX_WORDS))
        with self.assertRaises(MembershipError):
            wire.decode_ack(wire.encode_ack(wire.Ack(GREETING, more)))

    @steady
    @given(st.binary(max_size=120))
    def test_garbage_raises_only_membership_errors(self, raw):
        self._refused_or_decoded(raw)

    @steady
    @given(st.lists(fields, max_size=9))
    def test_wrong_fields_raise_only_membership_errors(self, array):
        self._refused_or_decoded(msgpack.packb(array))

    @steady
    @given(st.sampled_from(ENCODED), st.data())
    def test_damaged_messages_raise_only_membership_errors(self, raw, source):
        index = source.draw(st.integers(0, len(raw) - 1))
        byte = source.draw(st.integers(0, 255))
        self._refused_or_decoded(raw[:index])
        self._refused_or_decoded(
            b''.join((raw[:index], bytes((byte,)), raw[index + 1 :])),
        )

    def test_oversized_message_is_refused(self):
        with self.assertRaises(MembershipError):
            wire.decode_probe(bytes(MAX_MESSAGE_BYTES + 1))
