"""Tests what a sidecar measures of requests, and what it reports of failures.

A failing server that is reported as fast and idle attracts flows. Packets that
are sent again must not look like fast answers of a sound server.
"""

import logging
import unittest

from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
)
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from tests.lib.carried import (
    ACK,
    FIN,
    RST,
    SERVICE,
    SYN,
    build_admission_request,
    build_flow_handler,
    build_key,
    build_packet,
)

_BALANCER: SocketAddress = ('10.0.0.1', 7720)
_FIRST = 5000
_ANSWER = _FIRST + 1
_WORK_S = 0.02
_ERROR = b'e' * 100


class RequestOutcomesTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        handler, outbox = build_flow_handler()
        self.handler = handler
        self.outbox = outbox
        self.backend = self.handler.backend
        self.now: float = 0
        self._flows = 0
        for _ in range(20):
            self._request(_WORK_S, b'a' * 400)
        self.now += 5

    def test_fast_errors_raise_the_reported_service_time(self) -> None:
        usual_ms = self._reported_ms()
        for _ in range(3):
            self._request(0.001, _ERROR)
        self.assertGreater(self._reported_ms(), usual_ms + 200)
        # The admission would expect slots to be free at once otherwise.
        self.assertAlmostEqual(
            self.backend.service_ms(self.now), usual_ms, delta=0.1
        )
        self.assertEqual(self.handler.counters.counts['suspected_answered'], 3)

    def test_resets_and_closes_after_a_request_are_failures(self) -> None:
        for flags in (RST, FIN | ACK):
            with self.subTest(flags=flags):
                self.backend.restart_measurements()
                for _ in range(2):
                    self._send(self._open())
                    self._receive(self._key, b'', flags)
                self.assertTrue(self.backend.failures.is_suspected())

    def test_reset_after_the_answer_is_no_failure(self) -> None:
        for _ in range(4):
            self._send(self._open())
            self.now += _WORK_S
            self._receive(self._key, b'a' * 400)
            self._receive(self._key, b'', RST)
        self.assertFalse(self.backend.failures.is_suspected())

    def test_unanswered_requests_are_failures_and_free_their_slots(self):
        """Slots of lost requests would stay occupied after the failure."""
        for _ in range(3):
            self._send(self._open())
        self._tick_for(2)
        self.assertTrue(self.backend.failures.is_suspected())
        self.assertEqual(self.backend.table.busy_slots(self.now), 3)
        self._tick_for(4)
        self.assertEqual(self.backend.table.busy_slots(self.now), 0)
        # The client sends the request again.
        self._send(self._key)
        self.assertEqual(self.backend.table.busy_slots(self.now), 0)

    def test_requests_of_a_suspended_process_are_not_unanswered(self) -> None:
        """The answers wait in the socket until the process runs again."""
        keys = [self._open() for _ in range(3)]
        for key in keys:
            self._send(key)
        self._tick_for(0.1)
        self.now += 3
        self.handler.tick(self.now)
        for key in keys:
            self._receive(key, b'a' * 400)
        self._tick_for(1)
        self.assertFalse(self.backend.failures.is_suspected())

    def test_repeated_request_and_answer_are_no_fast_answer(self) -> None:
        """The server repeats an answer at once if its first copy was lost."""
        for _ in range(4):
            self._request(_WORK_S, b'a' * 400)
            self._send(self._key)
            self.now += 0.001
            self._receive(self._key, b'a' * 100)
            self._close(self._key)
        self.assertFalse(self.backend.failures.is_suspected())
        self.assertGreater(self.backend.service_ms(self.now), 15)

    def test_answer_bytes_are_counted_over_packets_and_once(self) -> None:
        self._send(self._open())
        self.now += _WORK_S
        for offset in (0, 1000, 1000, 2000):
            self._receive(
                self._key, b'a' * 1000, ACK, sequence=_ANSWER + offset
            )
        self.backend.table.outcomes.complete_answers(self.now + 0.2)
        outcome = self.backend.table.outcomes.take()[0]
        self.assertEqual(outcome.answer_bytes, 3000)
        self.assertAlmostEqual(outcome.answer_s, _WORK_S)

    def test_close_that_overtakes_its_answer_is_no_failure(self) -> None:
        """A short FIN that is sent right behind the answer arrives before it.

        A failure would be recorded for each request of a service that closes
        its flows, and no service time.
        """
        self.backend.restart_measurements()
        for _ in range(20):
            self._send(self._open())
            self.now += _WORK_S
            self._receive(self._key, b'', FIN | ACK, sequence=_ANSWER + 1600)
            self._receive(self._key, b'a' * 400, sequence=_ANSWER + 1200)
            self._receive(self._key, b'a' * 1200)
            self.assertEqual(self.backend.table.busy_slots(self.now), 0)
            self._close(self._key)
        self.assertFalse(self.backend.failures.is_suspected())
        self.assertAlmostEqual(
            self.backend.service_ms(self.now), _WORK_S * 1000, delta=5
        )

    def test_bytes_that_arrive_out_of_order_are_counted(self) -> None:
        self._send(self._open())
        self.now += _WORK_S
        self._receive(self._key, b'a' * 400, sequence=_ANSWER + 1200)
        self._receive(self._key, b'a' * 1200)
        self.backend.table.outcomes.complete_answers(self.now + 0.2)
        outcome = self.backend.table.outcomes.take()[0]
        self.assertEqual(outcome.answer_bytes, 1600)

    def test_repeated_answer_does_not_end_the_next_request(self) -> None:
        self._send(self._open())
        self.now += _WORK_S
        self._receive(self._key, b'a' * 400)
        self._send(self._key, sequence=100)
        self.now += 0.001
        self._receive(self._key, b'a' * 400)
        self.assertEqual(self.backend.table.busy_slots(self.now), 1)
        self.now += _WORK_S
        self._receive(self._key, b'a' * 400, sequence=_ANSWER + 400)
        self.assertEqual(self.backend.table.busy_slots(self.now), 0)

    def test_ended_flows_are_not_reported_as_open(self) -> None:
        """Placement would avoid the servers that served most of late."""
        before = self.backend.load(self.now).open_flows
        for _ in range(5):
            self._request(_WORK_S, b'a' * 400)
            self._receive(self._key, b'', FIN | ACK, sequence=_ANSWER + 400)
        key = self._open()
        self.assertEqual(self.backend.load(self.now).open_flows, before + 1)
        self.backend.table.remove(key)
        self.backend.table.sweep(self.now + 10, 60)
        self.assertEqual(self.backend.load(self.now).open_flows, before)

    def test_upload_is_timed_from_its_last_packet(self) -> None:
        key = self._open()
        for number in range(3):
            self._send(key, sequence=1 + number * 1000)
            self.now += 0.01
        self._receive(key, b'a' * 300)
        self.backend.table.outcomes.complete_answers(self.now + 0.2)
        outcome = self.backend.table.outcomes.take()[0]
        self.assertAlmostEqual(outcome.answer_s, 0.01)
        self.assertAlmostEqual(outcome.service_s, 0.03)

    def test_shed_requests_are_no_failures(self) -> None:
        """A sound server answers 503 at once when its queue is full."""
        for _ in range(5):
            self._send(self._open())
        for _ in range(4):
            self._send(self._open())
            self.now += 0.001
            self._receive(self._key, _ERROR)
            self._close(self._key)
        self.assertFalse(self.backend.failures.is_suspected())

    def test_suspected_server_gets_only_flows_without_another_choice(self):
        for _ in range(3):
            self._request(0.001, _ERROR)
        for is_last, status in (
            (False, FlowStatus.REFUSED),
            (True, FlowStatus.ACCEPTED),
        ):
            self.outbox.clear()
            self._open(is_last=is_last)
            reply = self.outbox.to_daemon[0][0]
            assert isinstance(reply, FlowReply)
            self.assertIs(reply.status, status)

    def test_report_recovers_after_the_pause(self) -> None:
        for _ in range(3):
            self._request(0.001, _ERROR)
        self.now += 1.1
        self.outbox.clear()
        self.handler.tick(self.now)
        reply = self.outbox.to_daemon[0][0]
        assert isinstance(reply, FlowReply)
        self.assertLess(reply.load.service_ms, 50)

    def _tick_for(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            self.handler.tick(self.now)

    def _reported_ms(self) -> float:
        return self.backend.load(self.now).service_ms

    @property
    def _key(self) -> FlowKey:
        return build_key(self._flows)

    def _request(self, work_s: float, answer: bytes) -> None:
        key = self._open()
        self._send(key)
        self.now += work_s
        self._receive(key, answer)
        self._close(key)

    def _open(self, *, is_last: bool = True) -> FlowKey:
        self._flows += 1
        message = build_admission_request(self._key, is_last=is_last)
        self.handler.on_admission_request(self.now, message, _BALANCER)
        self._receive(self._key, b'', SYN | ACK, sequence=_FIRST)
        return self._key

    def _send(self, key: FlowKey, *, sequence: int = 1) -> None:
        packet = build_packet(
            key,
            ACK,
            sequence=sequence,
            acknowledged=_FIRST + 1,
            payload=b'GET',
        )
        self._forward(packet)

    def _close(self, key: FlowKey) -> None:
        self._forward(build_packet(key, FIN | ACK, acknowledged=_FIRST + 1))

    def _forward(self, packet: bytes) -> None:
        message = ForwardedPacket(SERVICE, packet)
        self.handler.on_forwarded_packet(self.now, message, _BALANCER)

    def _receive(
        self,
        key: FlowKey,
        payload: bytes,
        flags: int = ACK,
        *,
        sequence: int = _ANSWER,
    ) -> None:
        packet = build_packet(
            key, flags, sequence=sequence, payload=payload, from_backend=True
        )
        self.handler.on_backend_packet(self.now, packet)
