import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    BOUNCED,
    SYN,
    build_key,
    build_packet,
)

# Examples that the platform publishes.
_SYN_PACKET = bytes.fromhex(
    '112233440000000020000000006440000701bbc61200019c41a1b2c3d50000',
)
_RESET_PACKET = bytes.fromhex(
    '00000000000000000800000000c61200019c416440000701bb000000000000',
)


class PacketsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = PlatformCodec()

    def test_published_syn_packet_decodes(self) -> None:
        packet = self.codec.from_client(_SYN_PACKET)
        self.assertEqual(packet.key, build_key(1))
        self.assertTrue(packet.is_first)
        self.assertEqual(packet.sequence, 0x11223344)
        self.assertEqual(packet.payload_bytes, 0)

    def test_reset_equals_the_published_packet(self) -> None:
        self.assertEqual(self.codec.build_reset(build_key(1), 0), _RESET_PACKET)

    def test_both_directions_have_the_same_key(self) -> None:
        key = build_key(3)
        sent = build_packet(key, ACK, payload=b'ab')
        answer = build_packet(key, ACK, from_backend=True)
        bounced = build_packet(key, ACK | BOUNCED)
        self.assertEqual(self.codec.from_client(sent).key, key)
        self.assertEqual(self.codec.from_backend(answer).key, key)
        self.assertEqual(self.codec.from_backend(bounced).key, key)

    def test_hop_mark_changes_no_field_that_the_checksum_covers(self) -> None:
        raw = build_packet(build_key(), SYN | BOUNCED, payload=b'xyz')
        marked = self.codec.with_hop_mark(raw, 7)
        self.assertEqual(self.codec.from_client(marked).hop_mark, 7)
        unmarked = self.codec.with_hop_mark(marked, 0)
        self.assertEqual(
            unmarked, build_packet(build_key(), SYN, payload=b'xyz')
        )

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=80))
    def test_any_bytes_decode_or_raise_a_wire_error(self, raw: bytes) -> None:
        for decode in (self.codec.from_client, self.codec.from_backend):
            try:
                packet = decode(raw)
            except WireError:
                continue
            self.assertEqual(packet.raw, raw)
