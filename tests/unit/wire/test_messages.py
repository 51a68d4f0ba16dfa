"""Encoding, decoding and validation of stream messages.

Guards against a daemon that fails on malformed input from a peer, or that
converts field types silently instead of rejecting the message.
"""

import unittest
from contextlib import suppress

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.models import (
    Address,
    IdempotencyKey,
    Outcome,
    OutcomeKind,
    StoredEntry,
)
from dragonflyshift._internal.wire import messages as wire

_KEY_OWNER = Address('127.0.0.1', 4433)
_HEADERS = ((b'content-type', b'text/plain'), (b'x', b''))
_ENTRY = StoredEntry(
    IdempotencyKey(_KEY_OWNER, 7, 3, 11),
    Outcome(OutcomeKind.ANSWERED, 201, _HEADERS, b'saved'),
)
_MESSAGES = (
    wire.ClaimRequest(
        3, 7, 2000, streaming=False, requester=Address('192.0.2.1', 7000)
    ),
    wire.ClaimGranted(9, 1000, 2, 0),
    wire.ClaimRefused('full', 1500, 0, 4),
    wire.RequestHead(
        claim_id=9,
        tag=3,
        method=b'POST',
        target=b'/tickets',
        headers=_HEADERS,
        idempotent=False,
        key=b'key',
        client=b'flow',
        trace=b'',
        timeout_ms=2000,
    ),
    wire.BodyChunk(b'abc', end=True),
    wire.ResponseHead(200, _HEADERS),
    wire.ExchangeFailed(wire.FailureKind.NOT_RUN, 'leaving', 500),
    wire.KeepAlive(),
    wire.OutcomeTransfer(
        _KEY_OWNER,
        7,
        (_ENTRY,),
        complete=True,
        floor=5,
        transfer=9,
        part=0,
    ),
    wire.OutcomeTransferred(),
    wire.DocumentRequest('dragonflyshift/index', 4),
    wire.DocumentReply('dragonflyshift/index', 5, b'{}'),
    wire.StatusRequest(),
    wire.StatusReply(b'{}'),
    wire.RouteRequest('127.0.0.1:443', b'packet', b''),
    wire.RouteReply(b'{}'),
)
_PLAIN_DATA = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-9, 1 << 63)
    | st.binary()
    | st.text(),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=12,
)


class MessageTest(unittest.TestCase):
    def test_each_message_survives_a_round_trip(self) -> None:
        for message in _MESSAGES:
            with self.subTest(message=message):
                raw = wire.encode_message(message)
                self.assertEqual(wire.decode_message(raw), message)

    def test_codes_are_unique(self) -> None:
        codes = {message.code for message in _MESSAGES}
        self.assertEqual(len(codes), len(_MESSAGES))

    def test_fields_of_wrong_type_or_count_are_refused(self) -> None:
        wrong = (
            [1, '3', 7, 2000, False],
            [1, True, 7, 2000, False],
            [1, 3, 7, 2000, 0],
            [1, 3, 7, 2000],
            [1, 3, 7, 2000, False, 0],
            [1, -1, 7, 2000, False],
            [True, 3, 7, 2000, False],
            [5, 'text', True],
            [6, 1000, []],
            [6, 200, [[b'x']]],
            [6, 200, [[b'x', 'text']]],
            [6, 200, {b'ab': b'cd'}],
            [7, 'perhaps', '', 0],
            [9, '127.0.0.1', 7, [], True, 0, 0, 0],
            [99],
            [],
            {},
        )
        for fields in wrong:
            with self.subTest(fields=fields), self.assertRaises(WireError):
                wire.decode_message(msgpack.packb(fields))

    def test_sizes_are_bounded(self) -> None:
        with self.assertRaises(WireError):
            wire.BodyChunk(bytes(1024 * 1024 + 1), end=False)
        with self.assertRaises(WireError):
            wire.ResponseHead(200, ((b'', b''),) * 5000)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.integers(0, 20), st.lists(_PLAIN_DATA, max_size=10))
    def test_random_fields_raise_only_wire_errors(
        self,
        code: int,
        fields: list[object],
    ) -> None:
        _decode_or_refuse(msgpack.packb([code, *fields]))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.sampled_from(_MESSAGES), st.data())
    def test_altered_bytes_raise_only_wire_errors(
        self,
        message: wire.Message,
        draw: st.DataObject,
    ) -> None:
        raw = bytearray(wire.encode_message(message))
        position = draw.draw(st.integers(0, len(raw) - 1))
        raw[position] = draw.draw(st.integers(0, 255))
        _decode_or_refuse(bytes(raw))
        _decode_or_refuse(bytes(raw[:position]))

    def test_deep_nesting_is_refused(self) -> None:
        with self.assertRaises(WireError):
            wire.decode_message(b'\x91' * 5000)


def _decode_or_refuse(raw: bytes) -> None:
    with suppress(WireError):
        wire.decode_message(raw)
