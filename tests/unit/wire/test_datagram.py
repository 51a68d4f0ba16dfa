"""Authentication and replay protection of datagrams between daemons.

Guards against a daemon that accepts a forged, altered or replayed datagram,
or rejects a valid one while the fleet keys are being rotated.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.wire.datagram import (
    HEADER_BYTES,
    WINDOW_PACKETS,
    DatagramCodec,
    DatagramKind,
)
from dragonflyshift._internal.wire.keys import FleetKeys

_OLD_KEY = f'1:{"11" * 32}'
_NEW_KEY = f'2:{"22" * 32}'


def _codec(text: str = _OLD_KEY) -> DatagramCodec:
    return DatagramCodec(FleetKeys.parse(text))


class DatagramTest(unittest.TestCase):
    def test_sealed_datagram_opens_with_the_same_key(self) -> None:
        sender = _codec()
        for kind in DatagramKind:
            opened = _codec().open(sender.seal(kind, b'body'))
            self.assertEqual(opened.kind, kind)
            self.assertEqual(opened.sender, sender.sender)
            self.assertEqual(opened.body, b'body')

    def test_unknown_key_id_and_wrong_secret_are_refused(self) -> None:
        sealed = _codec().seal(DatagramKind.PROBE, b'body')
        for keys in (_NEW_KEY, f'1:{"33" * 32}'):
            with self.assertRaises(WireError):
                _codec(keys).open(sealed)

    def test_adjacent_key_rotation_steps_are_compatible(self) -> None:
        both = (f'{_OLD_KEY},{_NEW_KEY}', f'{_NEW_KEY},{_OLD_KEY}')
        steps = (_OLD_KEY, *both, _NEW_KEY)
        for ours, theirs in zip(steps, steps[1:], strict=False):
            for pair in ((ours, theirs), (theirs, ours)):
                sealed = _codec(pair[0]).seal(DatagramKind.ACK, b'body')
                self.assertEqual(_codec(pair[1]).open(sealed).body, b'body')

    def test_replayed_and_too_old_datagrams_are_refused(self) -> None:
        sender, receiver = _codec(), _codec()
        sealed = [sender.seal(DatagramKind.FORWARD, b'') for _ in range(5)]
        for index in (1, 0, 4, 3):
            receiver.open(sealed[index])
        for index in (0, 1, 3, 4):
            with self.assertRaises(WireError):
                receiver.open(sealed[index])
        later = [
            sender.seal(DatagramKind.FORWARD, b'')
            for _ in range(WINDOW_PACKETS)
        ]
        receiver.open(later[-1])
        with self.assertRaises(WireError):
            receiver.open(sealed[2])

    def test_forged_datagram_does_not_change_the_replay_window(self) -> None:
        sender, receiver = _codec(), _codec()
        sealed = sender.seal(DatagramKind.FORWARD, b'body')
        with self.assertRaises(WireError):
            receiver.open(sealed.replace(b'body', b'bode'))
        self.assertEqual(receiver.open(sealed).body, b'body')

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.binary(max_size=40), st.data())
    def test_datagram_with_a_flipped_bit_is_refused(
        self,
        body: bytes,
        draw: st.DataObject,
    ) -> None:
        raw = bytearray(_codec().seal(DatagramKind.RELAY, body))
        bit = draw.draw(st.integers(0, len(raw) * 8 - 1))
        raw[bit // 8] ^= 1 << bit % 8
        with self.assertRaises(WireError):
            _codec().open(bytes(raw))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.integers(0, HEADER_BYTES + 3))
    def test_truncated_datagram_is_refused(self, size: int) -> None:
        sealed = _codec().seal(DatagramKind.REPLY, b'body')
        with self.assertRaises(WireError):
            _codec().open(sealed[:size])

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.binary(max_size=120))
    def test_random_bytes_raise_only_wire_errors(self, raw: bytes) -> None:
        with self.assertRaises(WireError):
            _codec().open(raw)
