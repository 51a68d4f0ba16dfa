import unittest

from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    BOUNCED,
    FIN,
    RST,
    SERVICE,
    SYN,
    build_flow_handler,
    build_key,
    build_open,
    build_packet,
    build_record,
    build_routes,
    build_view,
)

_BALANCER: SocketAddress = ('10.0.0.1', 7720)
_OTHER: SocketAddress = ('10.0.0.2', 7720)
_SERVER_SEQUENCE = 5000
_CODEC = PlatformCodec()


class HostTest(unittest.TestCase):
    def setUp(self) -> None:
        handler, outbox = build_flow_handler()
        self.handler = handler
        self.outbox = outbox
        self.key = build_key()

    def test_first_packet_reaches_a_free_server_unchanged(self) -> None:
        self.handler.on_new_flow(0, build_open(self.key), _BALANCER)
        self.assertEqual(self.outbox.to_backend, [build_packet(self.key, SYN)])
        self.assertEqual(self._verdicts(), [FlowStatus.ACCEPTED])

    def test_answer_goes_straight_to_the_client(self) -> None:
        self._open(self.key)
        answer = build_packet(self.key, ACK, payload=b'x', from_backend=True)
        self.handler.on_backend_packet(0.2, answer)
        self.assertEqual(self.outbox.to_client[-1], answer)

    def test_slot_is_busy_until_the_answer_begins(self) -> None:
        self._open(self.key)
        request = build_packet(
            self.key,
            ACK,
            acknowledged=_SERVER_SEQUENCE + 1,
            payload=b'GET',
        )
        self.handler.on_flow_packet(
            0.1, ForwardedPacket(SERVICE, request), _BALANCER
        )
        self.assertEqual(self.handler.backend.table.busy(0.9), 1)
        answer = build_packet(self.key, ACK, payload=b'x', from_backend=True)
        self.handler.on_backend_packet(1.0, answer)
        self.assertEqual(self.handler.backend.table.busy(1.0), 0)

    def test_reserved_slot_is_free_when_the_client_never_comes(self) -> None:
        self.handler.on_new_flow(0, build_open(self.key), _BALANCER)
        self.assertEqual(self.handler.backend.table.busy(0.1), 1)
        self.assertEqual(self.handler.backend.table.busy(0.5), 0)

    def test_flow_of_another_service_is_refused(self) -> None:
        message = build_open(self.key, service='other')
        self.handler.on_new_flow(0, message, _BALANCER)
        self.assertEqual(self._verdicts(), [FlowStatus.REFUSED])
        self.assertEqual(self.outbox.to_backend, [])

    def test_dropped_route_is_refused_with_a_newer_configuration(self) -> None:
        view = build_view()
        view.routes = build_routes(2)
        view.routes.routes.clear()
        handler, outbox = build_flow_handler(view)
        handler.on_new_flow(0, build_open(self.key, version=1), _BALANCER)
        self.assertEqual(outbox.to_backend, [])

    def test_leaving_server_takes_no_flow_and_hands_back_waiting(self) -> None:
        view = build_view()
        handler, outbox = build_flow_handler(view)
        for number in range(6):
            handler.on_new_flow(0, build_open(build_key(number)), _BALANCER)
        self.assertEqual(handler.backend.policy.waiting, 2)
        outbox.clear()
        view.merge(build_record(1, revision=9, is_leaving=True))
        handler.view_changed(0.1)
        returned = [
            message
            for message, _pair in outbox.to_daemon
            if isinstance(message, FlowReply) and message.raw
        ]
        self.assertEqual(len(returned), 2)
        handler.on_new_flow(0.2, build_open(build_key(9)), _BALANCER)
        self.assertEqual(outbox.to_backend, [])

    def test_bounced_first_packet_goes_back_to_the_balancer(self) -> None:
        self.handler.on_new_flow(0, build_open(self.key), _BALANCER)
        self.outbox.clear()
        self.handler.on_backend_packet(
            0.01, build_packet(self.key, SYN | BOUNCED)
        )
        message, pair = self.outbox.to_daemon[0]
        assert isinstance(message, FlowReply)
        self.assertIs(message.status, FlowStatus.REFUSED)
        self.assertEqual(message.raw, build_packet(self.key, SYN))
        self.assertEqual(pair, _BALANCER)

    def test_server_that_bounces_all_takes_ever_fewer_flows(self) -> None:
        """A server that ends is idle, so that it would attract every flow."""
        delivered = 0
        for step in range(300):
            now = step * 0.01
            self.outbox.clear()
            self.handler.on_new_flow(
                now, build_open(build_key(step)), _BALANCER
            )
            delivered += len(self.outbox.to_backend)
            for raw in tuple(self.outbox.to_backend):
                key = _CODEC.from_client(raw).key
                bounced = build_packet(key, SYN | BOUNCED)
                self.handler.on_backend_packet(now + 0.001, bounced)
        self.assertLess(delivered, 8)
        self.assertIs(self.handler.backend.state(3), BackendState.FULL)

    def test_client_that_took_another_servers_answer_is_handed_on(self) -> None:
        """Copies of a first packet reached two servers, both answered."""
        self.handler.on_new_flow(0, build_open(self.key), _BALANCER)
        self._server_answers()
        foreign = build_packet(self.key, ACK, acknowledged=900_000)
        self.handler.on_flow_packet(
            0.1, ForwardedPacket(SERVICE, foreign), _BALANCER
        )
        self.assertEqual(self._verdicts()[-1], FlowStatus.NOT_OWNED)
        self.assertEqual(len(self.outbox.to_backend), 1)
        self.handler.on_ownership_query(
            0.2, OwnershipQuery(SERVICE, self.key, 900_000), _OTHER
        )
        self.assertEqual(self._verdicts()[-1], FlowStatus.NOT_OWNED)
        own = OwnershipQuery(SERVICE, self.key, _SERVER_SEQUENCE + 1)
        self.handler.on_ownership_query(0.2, own, _OTHER)
        self.assertEqual(self._verdicts()[-1], FlowStatus.OWNED)

    def test_opening_at_a_lost_server_is_placed_again(self) -> None:
        self.handler.on_new_flow(0, build_open(self.key), _BALANCER)
        self.handler.on_backend_lost(0.1)
        self.assertEqual(self.outbox.to_client, [])
        self.assertIn(FlowStatus.REFUSED, self._verdicts())

    def test_copy_that_opened_elsewhere_is_not_reset(self) -> None:
        """Two servers answered; the client took the other's answer."""
        self.handler.on_new_flow(0, build_open(self.key), _BALANCER)
        answer = build_packet(
            self.key,
            SYN | ACK,
            sequence=_SERVER_SEQUENCE,
            from_backend=True,
        )
        self.handler.on_backend_packet(0.01, answer)
        self.handler.on_backend_lost(0.1)
        self.assertEqual(self.outbox.to_client, [answer])
        self.assertEqual(self._verdicts(), [FlowStatus.ACCEPTED])

    def test_restarted_sidecar_asks_its_server_and_adopts(self) -> None:
        handler, outbox = build_flow_handler(knows_all=False)
        data = build_packet(self.key, ACK, payload=b'GET')
        handler.on_flow_packet(0, ForwardedPacket(SERVICE, data), _BALANCER)
        question = _CODEC.from_client(outbox.to_backend[0])
        self.assertEqual(question.hop_mark, 1)
        answer = build_packet(self.key, ACK, from_backend=True)
        handler.on_backend_packet(0.01, answer)
        message, _pair = outbox.to_daemon[-1]
        assert isinstance(message, FlowReply)
        self.assertIs(message.status, FlowStatus.OWNED)
        self.assertEqual(outbox.to_client, [answer])

    def test_server_that_started_with_its_sidecar_has_no_other_flows(self):
        """After a loss of power nobody needs to ask the servers."""
        self.assertIs(
            self._asked_after(started_ms=99_900), FlowStatus.NOT_OWNED
        )
        self.assertIs(
            self._asked_after(started_ms=101_000), FlowStatus.NOT_OWNED
        )

    def test_server_that_is_older_may_have_flows(self) -> None:
        self.assertIs(self._asked_after(started_ms=99_000), FlowStatus.UNSURE)

    def test_restarted_sidecar_disowns_what_its_server_bounces(self) -> None:
        handler, outbox = build_flow_handler(knows_all=False)
        data = build_packet(self.key, ACK, payload=b'GET')
        handler.on_flow_packet(0, ForwardedPacket(SERVICE, data), _BALANCER)
        bounced = build_packet(
            self.key,
            ACK | BOUNCED,
            payload=b'GET',
            mark=1,
        )
        handler.on_backend_packet(0.01, bounced)
        message, _pair = outbox.to_daemon[-1]
        assert isinstance(message, FlowReply)
        self.assertIs(message.status, FlowStatus.NOT_OWNED)
        self.assertEqual(outbox.to_client, [])

    def test_lost_server_resets_its_flows_and_refuses_new_ones(self) -> None:
        self._open(self.key)
        self.outbox.clear()
        self.handler.on_backend_lost(1)
        reset = _CODEC.from_backend(self.outbox.to_client[0])
        self.assertTrue(reset.is_rst)
        self.assertEqual(reset.sequence, _SERVER_SEQUENCE + 1)
        self.assertIs(self.handler.backend.state(1), BackendState.DOWN)
        self.handler.on_backend_found(2)
        self.assertIs(self.handler.backend.state(2), BackendState.SERVING)

    def test_flow_that_the_server_forgot_is_reset(self) -> None:
        self._open(self.key)
        self.outbox.clear()
        bounced = build_packet(self.key, ACK | BOUNCED, payload=b'GET')
        self.handler.on_backend_packet(1, bounced)
        self.assertTrue(_CODEC.from_backend(self.outbox.to_client[0]).is_rst)

    def test_ended_flow_is_never_reset(self) -> None:
        self._open(self.key)
        closing = build_packet(
            self.key,
            ACK | FIN,
            acknowledged=_SERVER_SEQUENCE + 1,
        )
        self.handler.on_flow_packet(
            0.2, ForwardedPacket(SERVICE, closing), _BALANCER
        )
        answer = build_packet(self.key, ACK | FIN, from_backend=True)
        self.handler.on_backend_packet(0.3, answer)
        self.outbox.clear()
        late = build_packet(self.key, ACK | BOUNCED)
        self.handler.on_backend_packet(0.4, late)
        self.assertEqual(self.outbox.to_client, [])

    def test_servers_own_reset_is_delivered(self) -> None:
        self._open(self.key)
        reset = build_packet(self.key, RST, from_backend=True)
        self.handler.on_backend_packet(0.3, reset)
        self.assertEqual(self.outbox.to_client[-1], reset)

    def test_later_copy_of_a_first_packet_tells_its_age(self) -> None:
        for number in range(4):
            self.handler.on_new_flow(
                0, build_open(build_key(number)), _BALANCER
            )
        copy = build_packet(build_key(7), SYN, acknowledged=2)
        message = build_open(build_key(7), raw=copy, is_last=True)
        self.handler.on_new_flow(0, message, _BALANCER)
        self.handler.on_new_flow(0, build_open(build_key(8)), _BALANCER)
        self.outbox.clear()
        answer = build_packet(
            build_key(0),
            ACK,
            payload=b'x',
            from_backend=True,
        )
        self.handler.on_backend_packet(0.05, answer)
        started = [_CODEC.from_client(raw) for raw in self.outbox.to_backend]
        self.assertEqual(started[0].key, build_key(8))

    def test_hopeless_flow_is_refused_before_the_client_gives_up(self) -> None:
        for number in range(5):
            self.handler.on_new_flow(
                0, build_open(build_key(number)), _BALANCER
            )
        self.outbox.clear()
        for tick in range(6):
            self._keep_busy(tick * 0.25)
        self.handler.tick(1.25)
        resets = [
            packet
            for packet in map(_CODEC.from_backend, self.outbox.to_client)
            if packet.is_rst
        ]
        self.assertEqual(len(resets), 1)

    def _keep_busy(self, now: float) -> None:
        for number in range(4):
            request = build_packet(
                build_key(number),
                ACK,
                acknowledged=1,
                payload=b'GET',
            )
            flow = self.handler.backend.table.get(build_key(number))
            assert flow is not None
            flow.first_sequence = 0
            self.handler.on_flow_packet(
                now, ForwardedPacket(SERVICE, request), _BALANCER
            )

    def _asked_after(self, started_ms: int) -> FlowStatus:
        """Ask a sidecar that has run since 100,000 ms, its server since."""
        view = build_view()
        view.merge(build_record(revision=40, started_ms=started_ms))
        handler, outbox = build_flow_handler(view, knows_all=False)
        handler.backend.listening_since_ms = 100_000
        handler.view_changed(0)
        handler.on_ownership_query(
            0, OwnershipQuery(SERVICE, self.key, 0), _BALANCER
        )
        (answer,) = [
            message
            for message, _pair in outbox.to_daemon
            if isinstance(message, FlowReply) and message.key == self.key
        ]
        return answer.status

    def _open(self, key: FlowKey) -> None:
        self.handler.on_new_flow(0, build_open(key), _BALANCER)
        self._server_answers()
        opened = build_packet(key, ACK, acknowledged=_SERVER_SEQUENCE + 1)
        self.handler.on_flow_packet(
            0.05, ForwardedPacket(SERVICE, opened), _BALANCER
        )

    def _server_answers(self) -> None:
        answer = build_packet(
            self.key,
            SYN | ACK,
            sequence=_SERVER_SEQUENCE,
            from_backend=True,
        )
        self.handler.on_backend_packet(0.01, answer)

    def _verdicts(self) -> list[FlowStatus]:
        return [
            message.status
            for message, _pair in self.outbox.to_daemon
            if isinstance(message, FlowReply)
            and message.status is not FlowStatus.LOAD
        ]
