"""Dispatch of packets that balancers deliver to a sidecar.

Guards against flows that are accepted by the wrong service or passed on
twice, against unbounded handshakes, and against clients that wait for a lost
flow because it is not reset.
"""

import asyncio
import unittest
from unittest.mock import Mock, patch

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from attrs import evolve

from dragonflyshift._internal.models import Address, MemberState
from dragonflyshift._internal.routing import LeastLoaded, LoadSnapshot
from dragonflyshift._internal.sidecar.flows import (
    MAX_HALF_OPEN_FLOWS,
    RESET_BYTES,
    FlowTable,
    FlowTableCallbacks,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.telemetry import NoMetrics
from dragonflyshift._internal.wire import (
    ConnectionIdCodec,
    ConnectionIdContents,
    FleetKeys,
    ForwardEnvelope,
)
from tests.lib.builders import FLEET_KEYS_TEXT

TAG = 7
OWN = Address('192.0.2.1', 7000)
SECOND = Address('192.0.2.2', 7000)
SERVICE = Address('198.51.100.1', 443)
SHORT_HEADER = b'\x40'
PADDING = bytes(60)
_FLOWS_MODULE = 'dragonflyshift._internal.sidecar.flows'


def _initial() -> bytes:
    quic = QuicConnection(configuration=QuicConfiguration(is_client=True))
    quic.connect(SERVICE.pair, now=0)
    return quic.datagrams_to_send(now=0)[0][0]


def _forward(packet: bytes) -> ForwardEnvelope:
    return ForwardEnvelope(
        tag=TAG,
        client=Address('203.0.113.1', 5000),
        service=SERVICE,
        balancer=Address('192.0.2.10', 7000),
        packet=packet,
        second_candidate=SECOND,
    )


class FlowTableTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.codec = ConnectionIdCodec(FleetKeys.parse(FLEET_KEYS_TEXT))
        self.state = MemberState.ALIVE
        self.refuses_new_flows = False
        self.metrics = NoMetrics('sidecar')
        self.sender = Mock()
        self.relay = Mock()
        self.accept_mock = Mock()
        policy = FlowTableCallbacks(
            LeastLoaded(),
            lambda open_flows: LoadSnapshot(self.state, open_flows, 9, 3, 0),
            lambda _address: None,
            self.relay,
            lambda: self.refuses_new_flows,
            lambda address: address == SERVICE,
        )
        self.table = FlowTable(
            SidecarIdentity(OWN, TAG, 1, self.codec),
            QuicConfiguration(is_client=False),
            self.codec,
            self.sender,
            policy,
            Mock(),
            self.metrics,
        )
        self.original_accept = self.table._accept_flow
        self.table._accept_flow = self.accept_mock  # type: ignore[method-assign] # no TLS here

    def metric(self, name: str) -> float:
        return self.metrics.snapshot().get(f'dragonflyshift.sidecar.{name}', 0)

    async def test_new_flow_is_accepted(self) -> None:
        self.table.receive(_forward(_initial()))
        self.accept_mock.assert_called_once()

    async def test_new_flow_to_another_service_address_is_dropped(self) -> None:
        other = evolve(
            _forward(_initial()),
            service=Address('198.51.100.2', 443),
        )
        self.table.receive(other)
        self.accept_mock.assert_not_called()
        self.relay.assert_not_called()
        self.assertEqual(self.metric('dropped.wrong-service'), 1)

    async def test_unfinished_handshakes_are_bounded(self) -> None:
        self.table._accept_flow = self.original_accept  # type: ignore[method-assign] # restored
        self.table._half_open.update(Mock() for _ in range(MAX_HALF_OPEN_FLOWS))
        self.table.receive(_forward(_initial()))
        self.assertEqual(len(self.table), 0)
        self.assertEqual(self.metric('dropped.half-open'), 1)

    async def test_packet_with_the_tag_of_another_service_is_dropped(
        self,
    ) -> None:
        self.table.receive(evolve(_forward(_initial()), tag=TAG + 1))
        self.accept_mock.assert_not_called()
        self.assertEqual(self.metric('dropped.wrong-service'), 1)

    async def test_leaving_sidecar_passes_on_all_packets_of_a_new_flow(self):
        packet = _initial()
        self.state = MemberState.LEAVING
        self.table.receive(_forward(packet))
        self.state = MemberState.ALIVE
        self.table.receive(_forward(packet))
        self.assertEqual(self.relay.call_count, 2)
        self.accept_mock.assert_not_called()

    async def test_passed_on_flow_is_not_passed_on_again(self) -> None:
        self.state = MemberState.LEAVING
        self.table.receive(evolve(_forward(_initial()), hops=1))
        self.relay.assert_not_called()

    async def test_passed_on_flow_is_refused_at_once(self) -> None:
        # A sidecar with an older document passes flows on into an evacuation.
        self.table._accept_flow = self.original_accept  # type: ignore[method-assign] # restored
        passed_on = evolve(_forward(_initial()), hops=1)
        for refuses in (False, True):
            self.refuses_new_flows = refuses
            with (
                self.subTest(refuses=refuses),
                patch(f'{_FLOWS_MODULE}.ServerConnection'),
                patch(f'{_FLOWS_MODULE}.Flow') as flow,
            ):
                self.table.receive(passed_on)
                self.assertIs(flow.return_value.refuse.called, refuses)
            self.table._by_id.clear()

    async def test_packet_of_an_unknown_flow_is_reset(self):
        cid = self.codec.issue(ConnectionIdContents(OWN, TAG, 1))
        packet = b''.join((SHORT_HEADER, cid, PADDING))
        self.table.receive(_forward(packet))
        await asyncio.sleep(0)
        _forwarded, size, token = self.sender.send_reset.call_args.args
        self.assertEqual(token, self.codec.reset_token(cid))
        self.assertLess(size, len(packet))
        self.assertEqual(size, RESET_BYTES)

    async def test_flow_of_the_previous_service_is_reset(self):
        cid = self.codec.issue(ConnectionIdContents(OWN, TAG + 1, 1))
        packet = b''.join((SHORT_HEADER, cid, PADDING))
        self.table.receive(evolve(_forward(packet), tag=TAG + 1))
        self.sender.send_reset.assert_called_once()
        self.accept_mock.assert_not_called()
        self.assertEqual(self.metric('dropped.wrong-service'), 1)

    async def test_short_packet_gets_no_reset(self) -> None:
        cid = self.codec.issue(ConnectionIdContents(OWN, TAG, 1))
        self.table.receive(_forward(b''.join((SHORT_HEADER, cid))))
        self.sender.send_reset.assert_not_called()

    async def test_random_bytes_are_dropped(self) -> None:
        self.table.receive(_forward(b''.join((SHORT_HEADER, bytes(range(60))))))
        self.assertEqual(self.metric('dropped.foreign-id'), 1)
        self.accept_mock.assert_not_called()
