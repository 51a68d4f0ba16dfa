"""Tests how a sidecar admits, owns and ends flows.

A sidecar that claims or resets a flow which is open at another server breaks
a running request. One that hides a busy or lost server attracts flows that
this server can't run.
"""

import unittest

from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.policies.fair_share import FairShare
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    BOUNCED,
    FIN,
    RST,
    SERVICE,
    SYN,
    build_admission_request,
    build_flow_handler,
    build_key,
    build_packet,
    build_record,
    build_routes,
    build_view,
)

_BALANCER: SocketAddress = ('10.0.0.1', 7720)
_OTHER_BALANCER: SocketAddress = ('10.0.0.2', 7720)
_SERVER_SEQUENCE = 5000
_CODEC = PlatformCodec()


class FlowHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        handler, outbox = build_flow_handler()
        self.handler = handler
        self.outbox = outbox
        self.key = build_key()

    def test_first_packet_is_delivered_unchanged_to_idle_server(self) -> None:
        self.handler.on_admission_request(
            0,
            build_admission_request(self.key),
            _BALANCER,
        )
        self.assertEqual(self.outbox.to_backend, [build_packet(self.key, SYN)])
        self.assertEqual(self._flow_statuses(), [FlowStatus.ACCEPTED])

    def test_answer_is_sent_directly_to_the_client(self) -> None:
        self._open_flow(self.key)
        answer = build_packet(self.key, ACK, payload=b'x', from_backend=True)
        self.handler.on_backend_packet(0.2, answer)
        self.assertEqual(self.outbox.to_client[-1], answer)

    def test_slot_is_busy_until_the_answer_begins(self) -> None:
        self._open_flow(self.key)
        request = build_packet(
            self.key,
            ACK,
            acknowledged=_SERVER_SEQUENCE + 1,
            payload=b'GET',
        )
        self.handler.on_forwarded_packet(
            0.1,
            ForwardedPacket(SERVICE, request),
            _BALANCER,
        )
        self.assertEqual(self.handler.backend.table.busy_slots(0.9), 1)
        answer = build_packet(
            self.key,
            ACK,
            sequence=_SERVER_SEQUENCE + 1,
            payload=b'x',
            from_backend=True,
        )
        self.handler.on_backend_packet(1.0, answer)
        self.assertEqual(self.handler.backend.table.busy_slots(1.0), 0)

    def test_reserved_slot_expires_without_a_request(self) -> None:
        self.handler.on_admission_request(
            0,
            build_admission_request(self.key),
            _BALANCER,
        )
        self.assertEqual(self.handler.backend.table.busy_slots(0.1), 1)
        self.assertEqual(self.handler.backend.table.busy_slots(0.5), 0)

    def test_flow_of_another_service_is_refused(self) -> None:
        message = build_admission_request(self.key, service='other')
        self.handler.on_admission_request(0, message, _BALANCER)
        self.assertEqual(self._flow_statuses(), [FlowStatus.REFUSED])
        self.assertEqual(self.outbox.to_backend, [])

    def test_flow_is_refused_if_a_newer_version_lacks_its_route(self) -> None:
        view = build_view()
        view.routes = build_routes(2)
        view.routes.routes.clear()
        handler, outbox = build_flow_handler(view)
        handler.on_admission_request(
            0,
            build_admission_request(self.key, version=1),
            _BALANCER,
        )
        self.assertEqual(outbox.to_backend, [])

    def test_leaving_server_refuses_new_and_returns_waiting_flows(self) -> None:
        view = build_view()
        handler, outbox = build_flow_handler(view)
        for number in range(6):
            handler.on_admission_request(
                0,
                build_admission_request(build_key(number)),
                _BALANCER,
            )
        self.assertEqual(handler.backend.policy.waiting, 2)
        outbox.clear()
        view.merge(build_record(1, revision=9, is_leaving=True))
        handler.view_changed(0.1)
        returned = [
            message
            for message, _address in outbox.to_daemon
            if isinstance(message, FlowReply) and message.raw
        ]
        self.assertEqual(len(returned), 2)
        handler.on_admission_request(
            0.2,
            build_admission_request(build_key(9)),
            _BALANCER,
        )
        self.assertEqual(outbox.to_backend, [])

    def test_entry_of_another_service_does_not_stop_the_server(self) -> None:
        """Another writer listed the server's address as draining.

        All sidecars with such an entry refused new flows for good.
        """
        self.handler.backend.view.merge(
            build_record(
                9,
                service='machine-watch',
                host=build_record().host,
                is_leaving=True,
                started_ms=2000,
            )
        )
        self.handler.view_changed(0)
        self.assertIs(self.handler.backend.state(0), BackendState.SERVING)

    def test_displaced_flow_is_returned_and_not_delivered(self) -> None:
        """A flow that gives way must not run, nor be lost in silence."""
        handler, outbox = build_flow_handler(policy=FairShare())
        for number in range(20):
            handler.on_admission_request(
                0, build_admission_request(build_key(number)), _BALANCER
            )
        waiting = handler.backend.policy.waiting
        outbox.clear()
        light = b''.join((b'\x0a\x09\x09\x09', build_key()[4:]))
        handler.on_admission_request(
            0, build_admission_request(light), _OTHER_BALANCER
        )
        replies = {
            message.key: (message.status, message.raw, address)
            for message, address in outbox.to_daemon
            if isinstance(message, FlowReply)
        }
        accepted = replies.pop(light)
        self.assertEqual(accepted, (FlowStatus.ACCEPTED, b'', _OTHER_BALANCER))
        ((displaced, returned),) = replies.items()
        first_packet = build_packet(displaced, SYN)
        self.assertEqual(
            returned, (FlowStatus.REFUSED, first_packet, _BALANCER)
        )
        self.assertEqual(handler.backend.policy.waiting, waiting)
        self.assertFalse(handler.backend.policy.holds(displaced))
        self.assertIsNone(handler.backend.table.get(displaced))
        self.assertEqual((outbox.to_client, outbox.to_backend), ([], []))
        self.assertEqual(handler.counters.counts['displaced'], 1)

    def test_bounced_first_packet_is_returned_to_the_balancer(self) -> None:
        self.handler.on_admission_request(
            0,
            build_admission_request(self.key),
            _BALANCER,
        )
        self.outbox.clear()
        self.handler.on_backend_packet(
            0.01,
            build_packet(self.key, SYN | BOUNCED),
        )
        message, address = self.outbox.to_daemon[0]
        assert isinstance(message, FlowReply)
        self.assertIs(message.status, FlowStatus.REFUSED)
        self.assertEqual(message.raw, build_packet(self.key, SYN))
        self.assertEqual(address, _BALANCER)

    def test_backoff_grows_while_the_server_bounces_every_flow(self) -> None:
        """A server that shuts down looks idle and would attract every flow."""
        delivered = 0
        for step in range(300):
            now = step * 0.01
            self.outbox.clear()
            self.handler.on_admission_request(
                now,
                build_admission_request(build_key(step)),
                _BALANCER,
            )
            delivered += len(self.outbox.to_backend)
            for raw in tuple(self.outbox.to_backend):
                key = _CODEC.from_client(raw).key
                bounced = build_packet(key, SYN | BOUNCED)
                self.handler.on_backend_packet(now + 0.001, bounced)
        self.assertLess(delivered, 8)
        self.assertIs(self.handler.backend.state(3), BackendState.FULL)

    def test_flow_acknowledged_at_another_server_is_not_owned(self) -> None:
        """Copies of a first packet may reach two servers that both answer."""
        self.handler.on_admission_request(
            0,
            build_admission_request(self.key),
            _BALANCER,
        )
        self._answer_first_packet()
        misdirected = build_packet(self.key, ACK, acknowledged=900_000)
        self.handler.on_forwarded_packet(
            0.1,
            ForwardedPacket(SERVICE, misdirected),
            _BALANCER,
        )
        self.assertEqual(self._flow_statuses()[-1], FlowStatus.NOT_OWNED)
        self.assertEqual(len(self.outbox.to_backend), 1)
        self.handler.on_ownership_query(
            0.2,
            OwnershipQuery(SERVICE, self.key, 900_000),
            _OTHER_BALANCER,
        )
        self.assertEqual(self._flow_statuses()[-1], FlowStatus.NOT_OWNED)
        own_query = OwnershipQuery(SERVICE, self.key, _SERVER_SEQUENCE + 1)
        self.handler.on_ownership_query(0.2, own_query, _OTHER_BALANCER)
        self.assertEqual(self._flow_statuses()[-1], FlowStatus.OWNED)

    def test_new_flow_at_a_lost_server_is_returned(self) -> None:
        self.handler.on_admission_request(
            0,
            build_admission_request(self.key),
            _BALANCER,
        )
        self.handler.on_backend_lost(0.1)
        self.assertEqual(self.outbox.to_client, [])
        self.assertIn(FlowStatus.REFUSED, self._flow_statuses())

    def test_answered_new_flow_at_a_lost_server_is_not_reset(self) -> None:
        """Two servers answered, and the client may have accepted the other.

        A reset would then end a flow that is open there.
        """
        self.handler.on_admission_request(
            0,
            build_admission_request(self.key),
            _BALANCER,
        )
        answer = build_packet(
            self.key,
            SYN | ACK,
            sequence=_SERVER_SEQUENCE,
            from_backend=True,
        )
        self.handler.on_backend_packet(0.01, answer)
        self.handler.on_backend_lost(0.1)
        self.assertEqual(self.outbox.to_client, [answer])
        self.assertEqual(self._flow_statuses(), [FlowStatus.ACCEPTED])

    def test_answer_to_a_first_packet_of_before_a_restart_opens_no_flow(
        self,
    ) -> None:
        """The client may have accepted another server's answer.

        A sidecar that takes the flow for its own gets the packets that the
        client sends to the other server; its server bounces them, and the
        sidecar would reset the flow.
        """
        handler, outbox = build_flow_handler(knows_all=False)
        answer = build_packet(
            self.key, SYN | ACK, sequence=_SERVER_SEQUENCE, from_backend=True
        )
        handler.on_backend_packet(0, answer)
        for acknowledged, is_owned in (
            (_SERVER_SEQUENCE + 9_000_000, False),
            (_SERVER_SEQUENCE + 1, True),
        ):
            outbox.clear()
            query = OwnershipQuery(SERVICE, self.key, acknowledged)
            handler.on_ownership_query(0.1, query, _BALANCER)
            reply = outbox.to_daemon[0][0]
            assert isinstance(reply, FlowReply)
            self.assertIs(reply.status is FlowStatus.OWNED, is_owned)

    def test_restarted_sidecar_probes_and_adopts_a_flow(self) -> None:
        handler, outbox = build_flow_handler(knows_all=False)
        data = build_packet(self.key, ACK, payload=b'GET')
        handler.on_forwarded_packet(
            0,
            ForwardedPacket(SERVICE, data),
            _BALANCER,
        )
        probe = _CODEC.from_client(outbox.to_backend[0])
        self.assertEqual(probe.hop_mark, 1)
        answer = build_packet(self.key, ACK, from_backend=True)
        handler.on_backend_packet(0.01, answer)
        message, _address = outbox.to_daemon[-1]
        assert isinstance(message, FlowReply)
        self.assertIs(message.status, FlowStatus.OWNED)
        self.assertEqual(outbox.to_client, [answer])

    def test_start_time_of_a_server_denies_no_flow(self) -> None:
        """It was written by a clock that may have jumped since.

        The sidecar took a server for younger than itself, though an earlier
        process of the sidecar had opened flows there, and denied them.
        """
        for started_ms in (99_000, 99_900, 101_000, 10**13):
            with self.subTest(started_ms=started_ms):
                self.assertIs(
                    self._status_after_start(started_ms), FlowStatus.UNSURE
                )

    def test_bounced_flow_probe_is_answered_with_not_owned(self) -> None:
        handler, outbox = build_flow_handler(knows_all=False)
        data = build_packet(self.key, ACK, payload=b'GET')
        handler.on_forwarded_packet(
            0,
            ForwardedPacket(SERVICE, data),
            _BALANCER,
        )
        bounced = build_packet(
            self.key,
            ACK | BOUNCED,
            payload=b'GET',
            mark=1,
        )
        handler.on_backend_packet(0.01, bounced)
        message, _address = outbox.to_daemon[-1]
        assert isinstance(message, FlowReply)
        self.assertIs(message.status, FlowStatus.NOT_OWNED)
        self.assertEqual(outbox.to_client, [])

    def test_lost_server_causes_resets_and_refusals_until_found(self) -> None:
        self._open_flow(self.key)
        self.outbox.clear()
        self.handler.on_backend_lost(1)
        reset = _CODEC.from_backend(self.outbox.to_client[0])
        self.assertTrue(reset.is_rst)
        self.assertEqual(reset.sequence, _SERVER_SEQUENCE + 1)
        self.assertIs(self.handler.backend.state(1), BackendState.DOWN)
        self.handler.on_backend_found(2)
        self.assertIs(self.handler.backend.state(2), BackendState.SERVING)

    def test_open_flow_that_the_server_bounces_is_reset(self) -> None:
        self._open_flow(self.key)
        self.outbox.clear()
        bounced = build_packet(self.key, ACK | BOUNCED, payload=b'GET')
        self.handler.on_backend_packet(1, bounced)
        self.assertTrue(_CODEC.from_backend(self.outbox.to_client[0]).is_rst)

    def test_ended_flow_is_not_reset(self) -> None:
        self._open_flow(self.key)
        closing = build_packet(
            self.key,
            ACK | FIN,
            acknowledged=_SERVER_SEQUENCE + 1,
        )
        self.handler.on_forwarded_packet(
            0.2,
            ForwardedPacket(SERVICE, closing),
            _BALANCER,
        )
        answer = build_packet(self.key, ACK | FIN, from_backend=True)
        self.handler.on_backend_packet(0.3, answer)
        self.outbox.clear()
        late = build_packet(self.key, ACK | BOUNCED)
        self.handler.on_backend_packet(0.4, late)
        self.assertEqual(self.outbox.to_client, [])

    def test_reset_from_the_server_is_forwarded(self) -> None:
        self._open_flow(self.key)
        reset = build_packet(self.key, RST, from_backend=True)
        self.handler.on_backend_packet(0.3, reset)
        self.assertEqual(self.outbox.to_client[-1], reset)

    def test_retransmitted_first_packet_counts_its_age(self) -> None:
        """A client numbers the copies in the acknowledgement field."""
        for number in range(4):
            self.handler.on_admission_request(
                0,
                build_admission_request(build_key(number)),
                _BALANCER,
            )
        copy = build_packet(build_key(7), SYN, acknowledged=2)
        message = build_admission_request(build_key(7), raw=copy, is_last=True)
        self.handler.on_admission_request(0, message, _BALANCER)
        self.handler.on_admission_request(
            0,
            build_admission_request(build_key(8)),
            _BALANCER,
        )
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

    def test_waiting_flow_that_becomes_late_is_reset(self) -> None:
        for number in range(5):
            self.handler.on_admission_request(
                0,
                build_admission_request(build_key(number)),
                _BALANCER,
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
            self.handler.on_forwarded_packet(
                now,
                ForwardedPacket(SERVICE, request),
                _BALANCER,
            )

    def _status_after_start(self, started_ms: int) -> FlowStatus:
        """Return a sidecar's answer to an ownership query.

        The sidecar has restarted, its server has run since ``started_ms``.
        """
        view = build_view()
        view.merge(build_record(revision=40, started_ms=started_ms))
        handler, outbox = build_flow_handler(view, knows_all=False)
        handler.view_changed(0)
        handler.on_ownership_query(
            0,
            OwnershipQuery(SERVICE, self.key, 0),
            _BALANCER,
        )
        (answer,) = [
            message
            for message, _address in outbox.to_daemon
            if isinstance(message, FlowReply) and message.key == self.key
        ]
        return answer.status

    def _open_flow(self, key: FlowKey) -> None:
        self.handler.on_admission_request(
            0,
            build_admission_request(key),
            _BALANCER,
        )
        self._answer_first_packet()
        opened = build_packet(key, ACK, acknowledged=_SERVER_SEQUENCE + 1)
        self.handler.on_forwarded_packet(
            0.05,
            ForwardedPacket(SERVICE, opened),
            _BALANCER,
        )

    def _answer_first_packet(self) -> None:
        answer = build_packet(
            self.key,
            SYN | ACK,
            sequence=_SERVER_SEQUENCE,
            from_backend=True,
        )
        self.handler.on_backend_packet(0.01, answer)

    def _flow_statuses(self) -> list[FlowStatus]:
        return [
            message.status
            for message, _address in self.outbox.to_daemon
            if isinstance(message, FlowReply)
            and message.status is not FlowStatus.LOAD
        ]
