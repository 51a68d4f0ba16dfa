import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.carried.messages import (
    ChangeNotice,
    DaemonStatus,
    Datagram,
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
    decode_datagram,
)
from dragonflyshift._internal.exceptions import WireError
from tests.lib.carried import (
    SERVICE,
    build_admission_request,
    build_key,
    build_load,
    build_record,
)

_MESSAGES: tuple[Datagram, ...] = (
    build_admission_request(build_key()),
    ForwardedPacket(SERVICE, b'raw'),
    OwnershipQuery(SERVICE, build_key(), 9),
    FlowReply(build_key(), FlowStatus.NOT_OWNED, build_load(), b'raw'),
    DaemonStatus(
        is_balancer=False,
        is_reader=False,
        data_center='klang',
        revision=4,
        version=2,
        digest=77,
        age_ms=12,
        is_leaving=False,
        wants_reply=True,
        peers=('10.0.0.1:7720',),
        load=build_load(),
    ),
    ChangeNotice(1, 2, 3, 4, (build_record(1),), (('instance-2', 2),)),
)


class MessagesTest(unittest.TestCase):
    def test_decoded_messages_equal_the_encoded_ones(self) -> None:
        for message in _MESSAGES:
            with self.subTest(kind=type(message).__name__):
                self.assertEqual(decode_datagram(message.encode()), message)

    def test_truncated_messages_are_refused(self) -> None:
        for message in _MESSAGES:
            raw = message.encode()
            truncated = raw
            while truncated:
                truncated = truncated[:-1]
                with self.assertRaises(WireError):
                    decode_datagram(truncated)

    def test_flow_key_of_another_length_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            OwnershipQuery(SERVICE, b'short', 0)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=80))
    def test_any_bytes_decode_or_raise_a_wire_error(self, raw: bytes) -> None:
        try:
            decode_datagram(raw)
        except WireError as exc:
            self.assertTrue(exc.message)
