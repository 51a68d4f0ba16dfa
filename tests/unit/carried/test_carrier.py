import random
import unittest

from dragonflyshift._internal.carried.balancer.carrier import (
    CarrierPorts,
    FlowCarrier,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarBook
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.policies.placement import (
    FastestEstimate,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    PEER_PORT,
    SYN,
    Outbox,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_routes,
    build_view,
)

_CODEC = PlatformCodec()
_ACKNOWLEDGED = 7000


def _sidecar(record: EndpointRecord) -> SocketAddress:
    return (record.host, PEER_PORT)


class CarrierTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.age_s: float = 0
        self.confirmations = 0
        self.view = build_view(endpoints=3)
        self.carrier = self._carrier(self.view)
        self.key = build_key()

    def test_new_flow_is_offered_to_one_sidecar(self) -> None:
        self._send(0, SYN)
        message, pair = self.outbox.to_daemon[0]
        assert isinstance(message, AdmissionRequest)
        self.assertEqual(message.raw, build_packet(self.key, SYN))
        self.assertIn(pair, self._pairs())
        self.assertEqual(len(self.outbox.to_daemon), 1)

    def test_later_packets_follow_the_flow(self) -> None:
        pair = self._accepted()
        self._send(0.1, ACK)
        message, target = self.outbox.to_daemon[-1]
        self.assertIsInstance(message, ForwardedPacket)
        self.assertEqual(target, pair)

    def test_refused_flow_is_offered_to_the_idle_then_to_wait(self) -> None:
        self._send(0, SYN)
        asked = []
        for _ in range(3):
            pair = self.outbox.to_daemon[-1][1]
            asked.append(pair)
            self._verdict(0.01, pair, FlowStatus.REFUSED, busy=4)
        self.assertEqual(set(asked), self._pairs())
        self.assertEqual(self._finals(), [False, False, False, True])
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_that_nobody_lets_wait_is_reset_at_once(self) -> None:
        self._send(0, SYN)
        for _ in range(5):
            pair = self.outbox.to_daemon[-1][1]
            self._verdict(0.01, pair, FlowStatus.REFUSED, busy=4)
        self.assertTrue(_CODEC.from_backend(self.outbox.to_client[0]).is_rst)
        self.assertEqual(self.carrier.opener.pending, {})

    def test_flow_waits_at_once_when_all_are_known_to_be_busy(self) -> None:
        """In overload a round of offers would be refused by everyone."""
        for pair in self._pairs():
            self.carrier.sidecars.heard(0, pair, build_load(busy=9))
        self._send(0, SYN)
        self.assertEqual(self._finals(), [True])

    def test_silent_sidecar_is_passed_over(self) -> None:
        self._send(0, SYN)
        silent = self.outbox.to_daemon[-1][1]
        self.carrier.tick(0.1)
        self.assertNotEqual(self.outbox.to_daemon[-1][1], silent)
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_waits_for_the_first_configuration(self) -> None:
        """A balancer that has just started gets packets before its view."""
        view = FleetView()
        self.carrier = self._carrier(view)
        self.age_s = float('inf')
        self._send(0, SYN)
        self.assertEqual(self.outbox.to_daemon, [])
        view.routes = build_routes(1)
        view.merge(build_record(1))
        self.carrier.opener.view_changed(0.2)
        self.assertEqual(len(self.outbox.to_daemon), 1)
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_without_a_route_is_refused_at_once(self) -> None:
        self.key = build_key(port=9)
        self._send(0, SYN)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_flow_without_a_route_is_not_refused_by_an_old_view(self) -> None:
        """The route may be in a configuration that has not come here."""
        self.age_s = 60
        self.key = build_key(port=9)
        self._send(0, SYN)
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_waits_for_servers_to_register_again(self) -> None:
        """After a loss of power the register is empty for a moment."""
        self._remove_all()
        self._send(0, SYN)
        self.assertEqual(self.outbox.to_client, [])
        self.view.merge(build_record(1, revision=60))
        self.carrier.opener.view_changed(0.5)
        self.assertEqual(len(self.outbox.to_daemon), 1)

    def test_service_that_stays_empty_is_refused_at_once(self) -> None:
        self._remove_all()
        self._send(0, SYN)
        self.carrier.tick(1.4)
        self.outbox.clear()
        self.key = build_key(2)
        self._send(5, SYN)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_leaving_endpoints_get_no_flow(self) -> None:
        for number in (1, 2):
            leaving = build_record(number, revision=50, is_leaving=True)
            self.view.merge(leaving)
        for number in range(20):
            self.key = build_key(number)
            self._send(0, SYN)
        targets = {pair for _message, pair in self.outbox.to_daemon}
        self.assertEqual(targets, {_sidecar(build_record(3))})

    def test_unknown_flow_is_found_at_its_owner(self) -> None:
        self._send(0, ACK)
        asked = {
            pair
            for message, pair in self.outbox.to_daemon
            if isinstance(message, OwnershipQuery)
        }
        self.assertEqual(asked, self._pairs())
        owner = _sidecar(build_record(2))
        self.outbox.clear()
        self._verdict(0.01, owner, FlowStatus.OWNED)
        message, pair = self.outbox.to_daemon[0]
        self.assertIsInstance(message, ForwardedPacket)
        self.assertEqual(pair, owner)
        self._send(0.02, ACK)
        self.assertEqual(self.outbox.to_daemon[-1][1], owner)

    def test_unsure_sidecar_gets_the_packet_when_nobody_owns_it(self) -> None:
        self._send(0, ACK)
        unsure = _sidecar(build_record(3))
        self.outbox.clear()
        self._verdict(0.01, _sidecar(build_record(1)), FlowStatus.NOT_OWNED)
        self._verdict(0.01, unsure, FlowStatus.UNSURE)
        self.assertEqual(self.outbox.to_daemon, [])
        self._verdict(0.01, _sidecar(build_record(2)), FlowStatus.NOT_OWNED)
        self.assertEqual(
            [pair for _message, pair in self.outbox.to_daemon],
            [unsure],
        )

    def test_flow_of_an_ended_server_is_reset_after_confirmation(self) -> None:
        self._deny_all()
        self.assertEqual(self.outbox.to_client, [])
        self.assertEqual(self.confirmations, 1)
        self.carrier.tick(0.1)
        reset = _CODEC.from_backend(self.outbox.to_client[0])
        self.assertTrue(reset.is_rst)
        self.assertEqual(reset.sequence, _ACKNOWLEDGED)
        self.assertEqual(self.carrier.lookups.pending, {})

    def test_flow_is_not_reset_by_an_old_view(self) -> None:
        """Its server may live beyond this view; only silence is safe."""
        self.age_s = 60
        self._deny_all()
        self.carrier.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])

    def test_endpoint_that_was_missing_is_asked_before_a_reset(self) -> None:
        self._deny_all()
        self.view.merge(build_record(9))
        self.outbox.clear()
        self.carrier.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])
        asked = {pair for _message, pair in self.outbox.to_daemon}
        self.assertIn(_sidecar(build_record(9)), asked)

    def test_flow_is_not_reset_while_a_sidecar_is_silent(self) -> None:
        self._send_data()
        for number in (1, 2):
            pair = _sidecar(build_record(number))
            self._verdict(0.01, pair, FlowStatus.NOT_OWNED)
        self.carrier.tick(0.2)
        self.carrier.tick(0.5)
        self.assertEqual(self.outbox.to_client, [])

    def test_end_of_a_forgotten_flow_is_not_reset(self) -> None:
        self._send(0, ACK)
        for pair in self._pairs():
            self._verdict(0.01, pair, FlowStatus.NOT_OWNED)
        self.carrier.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])

    def test_disowned_flow_is_looked_up_with_its_packet(self) -> None:
        pair = self._accepted()
        self.outbox.clear()
        raw = build_packet(self.key, ACK, payload=b'GET')
        self._verdict(0.2, pair, FlowStatus.NOT_OWNED, raw)
        asked = [
            message
            for message, _pair in self.outbox.to_daemon
            if isinstance(message, OwnershipQuery)
        ]
        self.assertEqual(len(asked), 3)
        self.assertNotIn(self.key, self.carrier.cache)

    def test_bounced_flow_is_placed_elsewhere(self) -> None:
        pair = self._accepted()
        self.outbox.clear()
        raw = build_packet(self.key, SYN)
        self._verdict(0.05, pair, FlowStatus.REFUSED, raw)
        message, second = self.outbox.to_daemon[0]
        self.assertIsInstance(message, AdmissionRequest)
        self.assertNotEqual(second, pair)

    def test_flow_that_opened_is_not_given_up(self) -> None:
        """The sidecar's answer was lost, its server's was not."""
        self._send(0, SYN)
        owner = self.outbox.to_daemon[0][1]
        self._send_data()
        self._verdict(0.02, owner, FlowStatus.OWNED)
        self.carrier.tick(1.4)
        self.assertEqual(self.outbox.to_client, [])

    def test_malformed_packets_are_counted(self) -> None:
        self.carrier.client_packet(0, b'short')
        self.assertEqual(self.outbox.to_daemon, [])

    def test_lost_servers_sidecar_is_not_asked(self) -> None:
        lost = _sidecar(build_record(1))
        down = build_load(state=BackendState.DOWN)
        self.carrier.sidecars.heard(0, lost, down)
        for number in range(20):
            self.key = build_key(number)
            self._send(0, SYN)
        targets = {pair for _message, pair in self.outbox.to_daemon}
        self.assertNotIn(lost, targets)

    def _carrier(self, view: FleetView) -> FlowCarrier:
        ports = CarrierPorts(
            self.outbox.add_datagram,
            self.outbox.add_client_packet,
            _sidecar,
            lambda _now: self.age_s,
            self._count_confirmation,
        )
        return FlowCarrier(
            view,
            SidecarBook('klang'),
            _CODEC,
            FastestEstimate(),
            ports,
            random.Random(1),
            Counters(),
        )

    def _remove_all(self) -> None:
        for number in range(1, 4):
            self.view.remove(f'instance-{number}', 50)

    def _count_confirmation(self) -> None:
        self.confirmations += 1

    def _send_data(self) -> None:
        raw = build_packet(
            self.key,
            ACK,
            acknowledged=_ACKNOWLEDGED,
            payload=b'GET',
        )
        self.carrier.client_packet(0, raw)

    def _deny_all(self) -> None:
        self._send_data()
        for pair in self._pairs():
            self._verdict(0.01, pair, FlowStatus.NOT_OWNED)

    def _pairs(self) -> set[SocketAddress]:
        return {_sidecar(build_record(number)) for number in range(1, 4)}

    def _send(self, now: float, flags: int) -> None:
        self.carrier.client_packet(now, build_packet(self.key, flags))

    def _finals(self) -> list[bool]:
        return [
            message.is_last
            for message, _pair in self.outbox.to_daemon
            if isinstance(message, AdmissionRequest)
        ]

    def _accepted(self) -> SocketAddress:
        self._send(0, SYN)
        _message, pair = self.outbox.to_daemon[-1]
        self._verdict(0.01, pair, FlowStatus.ACCEPTED)
        return pair

    def _verdict(
        self,
        now: float,
        pair: SocketAddress,
        verdict: FlowStatus,
        raw: bytes = b'',
        busy: int = 0,
    ) -> None:
        load = build_load(busy=busy)
        answer = FlowReply(self._key(), verdict, load, raw)
        self.carrier.placement(now, answer, pair)

    def _key(self) -> FlowKey:
        return self.key
