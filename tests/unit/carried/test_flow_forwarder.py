"""Tests the placement, the lookup and the reset of flows at a balancer.

If a balancer resets a flow although a sidecar or a server unknown to it may
own the flow, a running request is lost. If it waits too long, clients give up.
"""

import unittest

from dragonflyshift._internal.carried.balancer.forwarder import (
    FlowForwarder,
)
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
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    FIN,
    SYN,
    Outbox,
    build_forwarder,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_routes,
    build_view,
    sidecar_address,
)

_CODEC = PlatformCodec()
_ACKNOWLEDGED = 7000


class FlowForwarderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view_age_s: float = 0
        self.confirmations = 0
        self.view = build_view(endpoints=3)
        self.forwarder = self._create_forwarder(self.view)
        self.key = build_key()

    def test_new_flow_is_offered_to_one_sidecar(self) -> None:
        self._send(0, SYN)
        message, address = self.outbox.to_daemon[0]
        assert isinstance(message, AdmissionRequest)
        self.assertEqual(message.raw, build_packet(self.key, SYN))
        self.assertIn(address, self._sidecars())
        self.assertEqual(len(self.outbox.to_daemon), 1)

    def test_later_packets_go_to_the_owner(self) -> None:
        address = self._open_flow()
        self._send(0.1, ACK)
        message, target = self.outbox.to_daemon[-1]
        self.assertIsInstance(message, ForwardedPacket)
        self.assertEqual(target, address)

    def test_refused_flow_is_offered_to_idle_sidecars_then_queued(self) -> None:
        self._send(0, SYN)
        offered_to = []
        for _ in range(3):
            address = self.outbox.to_daemon[-1][1]
            offered_to.append(address)
            self._answer(0.01, address, FlowStatus.REFUSED, busy=4)
        self.assertEqual(set(offered_to), self._sidecars())
        self.assertEqual(self._is_last_flags(), [False, False, False, True])
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_that_no_sidecar_queues_is_reset_at_once(self) -> None:
        self._send(0, SYN)
        for _ in range(5):
            address = self.outbox.to_daemon[-1][1]
            self._answer(0.01, address, FlowStatus.REFUSED, busy=4)
        self.assertTrue(_CODEC.from_backend(self.outbox.to_client[0]).is_rst)
        self.assertEqual(self.forwarder.placer.pending, {})

    def test_first_offer_is_the_last_when_all_servers_are_busy(self) -> None:
        """In overload all sidecars would refuse a first round of offers."""
        for address in self._sidecars():
            self.forwarder.sidecars.record_report(
                0, address, build_load(busy=9)
            )
        self._send(0, SYN)
        self.assertEqual(self._is_last_flags(), [True])

    def test_flow_is_offered_elsewhere_without_an_answer(self) -> None:
        self._send(0, SYN)
        unresponsive = self.outbox.to_daemon[-1][1]
        self.forwarder.tick(0.1)
        self.assertNotEqual(self.outbox.to_daemon[-1][1], unresponsive)
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_waits_for_the_first_configuration(self) -> None:
        """A balancer that has just started receives packets before its view."""
        view = FleetView()
        self.forwarder = self._create_forwarder(view)
        self.view_age_s = float('inf')
        self._send(0, SYN)
        self.assertEqual(self.outbox.to_daemon, [])
        view.routes = build_routes(1)
        view.merge(build_record(1))
        self.forwarder.placer.view_changed(0.2)
        self.assertEqual(len(self.outbox.to_daemon), 1)
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_is_not_reset_if_no_configuration_arrives(self) -> None:
        """Another balancer may have opened it from a copy of its packet."""
        self.forwarder = self._create_forwarder(FleetView())
        self.view_age_s = float('inf')
        self._send(0, SYN)
        self.forwarder.tick(1.4)
        self.assertEqual(self.outbox.to_client, [])
        self.assertEqual(self.forwarder.placer.pending, {})

    def test_flow_without_a_route_is_refused_at_once(self) -> None:
        self.key = build_key(port=9)
        self._send(0, SYN)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_flow_without_a_route_is_held_with_an_outdated_view(self) -> None:
        """The route may be in a configuration that has not arrived yet."""
        self.view_age_s = 60
        self.key = build_key(port=9)
        self._send(0, SYN)
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_waits_for_servers_to_register_again(self) -> None:
        """After a power loss the store lists no endpoints for a short time."""
        self._remove_all()
        self._send(0, SYN)
        self.assertEqual(self.outbox.to_client, [])
        self.view.merge(build_record(1, revision=60))
        self.forwarder.placer.view_changed(0.5)
        self.assertEqual(len(self.outbox.to_daemon), 1)

    def test_service_that_stays_empty_is_refused_at_once(self) -> None:
        self._remove_all()
        self._send(0, SYN)
        self.forwarder.tick(1.4)
        self.outbox.clear()
        self.key = build_key(2)
        self._send(5, SYN)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_leaving_endpoints_receive_no_new_flow(self) -> None:
        for number in (1, 2):
            leaving = build_record(number, revision=50, is_leaving=True)
            self.view.merge(leaving)
        for number in range(20):
            self.key = build_key(number)
            self._send(0, SYN)
        targets = {address for _message, address in self.outbox.to_daemon}
        self.assertEqual(targets, {sidecar_address(build_record(3))})

    def test_unknown_flow_is_found_at_its_owner(self) -> None:
        self._send(0, ACK)
        queried = {
            address
            for message, address in self.outbox.to_daemon
            if isinstance(message, OwnershipQuery)
        }
        self.assertEqual(queried, self._sidecars())
        owner = sidecar_address(build_record(2))
        self.outbox.clear()
        self._answer(0.01, owner, FlowStatus.OWNED)
        message, address = self.outbox.to_daemon[0]
        self.assertIsInstance(message, ForwardedPacket)
        self.assertEqual(address, owner)
        self._send(0.02, ACK)
        self.assertEqual(self.outbox.to_daemon[-1][1], owner)

    def test_unsure_sidecar_receives_the_packet_without_an_owner(self) -> None:
        self._send(0, ACK)
        unsure = sidecar_address(build_record(3))
        self.outbox.clear()
        self._answer(
            0.01, sidecar_address(build_record(1)), FlowStatus.NOT_OWNED
        )
        self._answer(0.01, unsure, FlowStatus.UNSURE)
        self.assertEqual(self.outbox.to_daemon, [])
        self._answer(
            0.01, sidecar_address(build_record(2)), FlowStatus.NOT_OWNED
        )
        self.assertEqual(
            [address for _message, address in self.outbox.to_daemon],
            [unsure],
        )

    def test_flow_of_a_lost_server_is_reset_after_confirmation(self) -> None:
        self._deny_all()
        self.assertEqual(self.outbox.to_client, [])
        self.assertEqual(self.confirmations, 1)
        self.forwarder.tick(0.1)
        reset = _CODEC.from_backend(self.outbox.to_client[0])
        self.assertTrue(reset.is_rst)
        self.assertEqual(reset.sequence, _ACKNOWLEDGED)
        self.assertEqual(self.forwarder.lookups.pending, {})

    def test_flow_is_not_reset_by_an_outdated_view(self) -> None:
        """Its server may be running without being in this view."""
        self.view_age_s = 60
        self._deny_all()
        self.forwarder.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])

    def test_added_endpoint_is_queried_before_a_reset(self) -> None:
        self._deny_all()
        self.view.merge(build_record(9))
        self.outbox.clear()
        self.forwarder.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])
        queried = {address for _message, address in self.outbox.to_daemon}
        self.assertIn(sidecar_address(build_record(9)), queried)

    def test_flow_is_not_reset_while_an_answer_is_missing(self) -> None:
        self._send_data()
        for number in (1, 2):
            address = sidecar_address(build_record(number))
            self._answer(0.01, address, FlowStatus.NOT_OWNED)
        self.forwarder.tick(0.2)
        self.forwarder.tick(0.5)
        self.assertEqual(self.outbox.to_client, [])

    def test_unknown_flow_without_payload_is_not_reset(self) -> None:
        self._send(0, ACK)
        for address in self._sidecars():
            self._answer(0.01, address, FlowStatus.NOT_OWNED)
        self.forwarder.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])

    def test_unknown_flow_that_its_client_closes_is_reset(self) -> None:
        """Clients close their idle flows for seconds after a loss of power.

        A client repeats its FIN until it is acknowledged, and each copy costs
        a lookup at all sidecars.
        """
        self._send(0, ACK | FIN)
        for address in self._sidecars():
            self._answer(0.01, address, FlowStatus.NOT_OWNED)
        self.forwarder.tick(0.1)
        (raw,) = self.outbox.to_client
        self.assertTrue(_CODEC.from_backend(raw).is_rst)

    def test_returned_packet_starts_a_lookup(self) -> None:
        address = self._open_flow()
        self.outbox.clear()
        raw = build_packet(self.key, ACK, payload=b'GET')
        self._answer(0.2, address, FlowStatus.NOT_OWNED, raw)
        queried = [
            message
            for message, _address in self.outbox.to_daemon
            if isinstance(message, OwnershipQuery)
        ]
        self.assertEqual(len(queried), 3)
        self.assertNotIn(self.key, self.forwarder.owner_cache)

    def test_bounced_flow_is_offered_to_another_sidecar(self) -> None:
        address = self._open_flow()
        self.outbox.clear()
        raw = build_packet(self.key, SYN)
        self._answer(0.05, address, FlowStatus.REFUSED, raw)
        message, second = self.outbox.to_daemon[0]
        self.assertIsInstance(message, AdmissionRequest)
        self.assertNotEqual(second, address)

    def test_established_flow_is_not_refused(self) -> None:
        """The sidecar's answer is lost, but the server's reaches the client."""
        self._send(0, SYN)
        owner = self.outbox.to_daemon[0][1]
        self._send_data()
        self._answer(0.02, owner, FlowStatus.OWNED)
        self.forwarder.tick(1.4)
        self.assertEqual(self.outbox.to_client, [])

    def test_other_endpoints_are_considered_if_no_candidate_replies(self):
        """Many entries of servers that are gone hid the living ones."""
        view = build_view(endpoints=30)
        forwarder = build_forwarder(view, self.outbox)
        alive = sidecar_address(build_record(30))
        for number in range(1, 30):
            address = sidecar_address(build_record(number))
            forwarder.sidecars.mark_suspect(0, address)
        for number in range(20):
            packet = build_packet(build_key(number), SYN)
            forwarder.on_client_packet(0, packet)
            _message, address = self.outbox.to_daemon[-1]
            with self.subTest(number=number):
                self.assertEqual(address, alive)

    def test_malformed_packet_is_dropped(self) -> None:
        self.forwarder.on_client_packet(0, b'short')
        self.assertEqual(self.outbox.to_daemon, [])

    def test_sidecar_of_a_down_server_receives_no_new_flow(self) -> None:
        lost = sidecar_address(build_record(1))
        down = build_load(state=BackendState.DOWN)
        self.forwarder.sidecars.record_report(0, lost, down)
        for number in range(20):
            self.key = build_key(number)
            self._send(0, SYN)
        targets = {address for _message, address in self.outbox.to_daemon}
        self.assertNotIn(lost, targets)

    def _create_forwarder(self, view: FleetView) -> FlowForwarder:
        return build_forwarder(
            view,
            self.outbox,
            lambda _now: self.view_age_s,
            self._count_confirmation,
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
        self.forwarder.on_client_packet(0, raw)

    def _deny_all(self) -> None:
        self._send_data()
        for address in self._sidecars():
            self._answer(0.01, address, FlowStatus.NOT_OWNED)

    def _sidecars(self) -> set[SocketAddress]:
        return {sidecar_address(build_record(number)) for number in range(1, 4)}

    def _send(self, now: float, flags: int) -> None:
        self.forwarder.on_client_packet(now, build_packet(self.key, flags))

    def _is_last_flags(self) -> list[bool]:
        return [
            message.is_last
            for message, _address in self.outbox.to_daemon
            if isinstance(message, AdmissionRequest)
        ]

    def _open_flow(self) -> SocketAddress:
        self._send(0, SYN)
        _message, address = self.outbox.to_daemon[-1]
        self._answer(0.01, address, FlowStatus.ACCEPTED)
        return address

    def _answer(
        self,
        now: float,
        address: SocketAddress,
        status: FlowStatus,
        raw: bytes = b'',
        busy: int = 0,
    ) -> None:
        load = build_load(busy=busy)
        answer = FlowReply(self._key(), status, load, raw)
        self.forwarder.on_flow_reply(now, answer, address)

    def _key(self) -> FlowKey:
        return self.key
