"""Tests the limit of new flows at a cold server beside its sidecar.

A cold server that gets more flows than it can take answers most of them late.
It gets them when waiting flows, retransmissions, a restart of the sidecar or a
change of the configuration are not counted.
"""

import unittest
from typing import Any

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import FlowReply, FlowStatus
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.routes import Warmup
from tests.lib.carried import (
    ACK,
    SERVICE,
    SYN,
    build_admission_request,
    build_flow_handler,
    build_key,
    build_packet,
    build_record,
    build_routes,
)

_BALANCERS: tuple[SocketAddress, ...] = (('10.0.0.1', 1), ('10.0.0.2', 1))
# 2 requests per second x 1.5 + 5
_LIMIT = 8
_COLD_S = 4.0


class WarmupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now: float = 0
        self.view = FleetView(clock=lambda: self.now)
        self._configure(1, per_s=2)
        self._list(warmup_ms=4000)
        self._start()

    def test_cold_server_gets_no_more_than_the_limit(self) -> None:
        """The limit holds for all balancers together."""
        statuses = self._offer_all(0, range(20))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)
        self.assertEqual(statuses.count(FlowStatus.REFUSED), 20 - _LIMIT)
        self.assertIs(self.handler.backend.state(0), BackendState.FULL)
        self.assertEqual(self.handler.counters.counts['refused_warmup'], 12)
        self._offer_all(1.04, (21,))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)
        self._offer_all(1.06, range(30, 50))
        self.assertEqual(len(self.outbox.to_backend), 2 * _LIMIT)

    def test_warm_server_is_not_limited(self) -> None:
        self._offer_all(_COLD_S, range(40))
        self.assertEqual(len(self.outbox.to_backend), 40)

    def test_service_without_a_rate_is_not_limited(self) -> None:
        self._configure(2)
        self._offer_all(0, range(40))
        self.assertEqual(len(self.outbox.to_backend), 40)

    def test_server_that_becomes_cold_without_a_restart_is_limited(self):
        """Servers of a data centre may be cold at the end of an evacuation."""
        self.now = 10
        self._list(warmup_ms=4000, revision=9)
        self._offer_all(10, range(20))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)
        self.assertTrue(self.handler.backend.may_start(10 + _COLD_S))

    def test_newest_record_says_how_long_a_start_is_cold(self) -> None:
        self.now = 1
        self._list(warmup_ms=0, revision=9)
        self._offer_all(1, range(40))
        self.assertEqual(len(self.outbox.to_backend), 40)
        self._list(warmup_ms=4000, revision=10, started_ms=2000)
        self.assertFalse(self.handler.backend.may_start(1))

    def test_waiting_flows_start_within_the_limit_or_are_returned(self) -> None:
        self.handler.backend.slots = 1
        self._offer_all(0, range(1, 3), target_ms=2000, slots=1)
        self._offer_all(0, (3,), target_ms=1500, slots=1)
        self._offer_all(0, (4,), target_ms=700, slots=1)
        self.assertEqual(self.handler.backend.policy.waiting, 2)
        for _ in range(_LIMIT - 2):
            self.handler.backend.record_start(0.1)
        self.outbox.clear()
        self.handler.tick(0.4)
        # Flow 4 would miss its target, so that it is placed elsewhere.
        replies = [message for message, _balancer in self.outbox.to_daemon]
        returned = [
            reply
            for reply in replies
            if isinstance(reply, FlowReply) and reply.raw
        ]
        self.assertEqual([reply.key for reply in returned], [build_key(4)])
        self.handler.tick(1)
        self.assertEqual(self.outbox.to_backend, [])
        self.handler.tick(1.06)
        self.assertEqual(
            self.outbox.to_backend, [build_packet(build_key(3), SYN)]
        )

    def test_unanswered_retransmission_counts_as_a_new_flow(self) -> None:
        """The server may have got the copy only."""
        self._offer_all(0, range(_LIMIT - 1))
        self._offer_all(0.2, (0, 1))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)

    def test_retransmission_of_an_answered_flow_is_delivered(self) -> None:
        """Its client lacks the server's answer and can't open the flow."""
        self._offer_all(0, range(_LIMIT))
        self._answer(build_key(0))
        self._offer_all(0.2, (0, 1))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT + 1)

    def test_restarted_sidecar_counts_the_second_before_its_start(self) -> None:
        self.now = 0.5
        self._start(knows_all=False)
        self._offer_all(0.6, range(20))
        self._offer_all(1.5, range(20))
        self.assertEqual(self.outbox.to_backend, [])
        self._offer_all(1.6, range(20))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)

    def test_removed_rate_ends_the_limit_of_a_restarted_sidecar(self) -> None:
        self._start(knows_all=False)
        self.assertFalse(self.handler.backend.may_start(0.1))
        self._configure(2)
        self.assertTrue(self.handler.backend.may_start(0.1))

    def test_endless_cold_time_is_applied(self) -> None:
        """The configuration may hold a number beyond floating point."""
        self.view.routes.warmups[SERVICE] = Warmup(SERVICE, float('inf'), 2)
        self.handler.on_backend_lost(1)
        self.handler.on_backend_found(2)
        self._offer_all(900, range(20))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)

    def test_restarted_sidecar_awaits_its_view(self) -> None:
        """It would deliver whatever arrives before the rate is known."""
        self.view = FleetView(clock=lambda: self.now)
        self._start(knows_all=False)
        self.handler.backend.awaits_warmups = True
        self._offer_all(0.1, range(20))
        self.assertEqual(self.outbox.to_backend, [])
        # Without a view no limit is known, and the server must be used.
        self._offer_all(1.1, range(20))
        self.assertEqual(len(self.outbox.to_backend), 20)

    def test_start_time_of_a_server_opens_nothing_early(self) -> None:
        """A clock may have jumped, and its former sidecar filled the second."""
        for started_ms in (1, 10**9, 10**13):
            self._start(knows_all=False)
            self._list(warmup_ms=4000, revision=10, started_ms=started_ms)
            self._offer_all(0.1, range(20))
            with self.subTest(started_ms=started_ms):
                self.assertEqual(self.outbox.to_backend, [])

    def test_adopted_new_flows_count(self) -> None:
        """They were delivered by the earlier process of the sidecar."""
        self._answer(build_key(30))
        self._offer_all(0, range(20))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT - 1)

    def test_new_rate_counts_the_flows_of_the_last_second(self) -> None:
        self._configure(2)
        self._start()
        self._offer_all(0, range(6))
        self.now = 0.5
        self._configure(3, per_s=2)
        self._offer_all(0.5, range(10, 30))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)
        self._configure(4, per_s=4)
        self._offer_all(0.6, range(40, 60))
        self.assertEqual(len(self.outbox.to_backend), 11)

    def test_server_that_is_found_again_is_cold(self) -> None:
        self.handler.on_backend_lost(9)
        self.now = 10
        self.handler.on_backend_found(10)
        self._offer_all(10, range(20))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)
        self.assertFalse(self.handler.backend.may_start(10.5))
        self.assertTrue(self.handler.backend.may_start(10 + _COLD_S))

    def test_server_without_a_record_is_cold(self) -> None:
        self.view.records.clear()
        self._start()
        self._offer_all(60, range(20))
        self.assertEqual(len(self.outbox.to_backend), _LIMIT)

    def test_first_start_of_the_system_is_not_limited(self) -> None:
        """All servers start together and nothing else could serve."""
        self.view.records.clear()
        self._start()
        self.handler.backend.is_first_start = True
        self.handler.view_changed(0)
        self._offer_all(0, range(20))
        self.assertEqual(len(self.outbox.to_backend), 20)

    def _configure(self, version: int, per_s: float = 0) -> None:
        self.view.routes = build_routes(version)
        if per_s:
            warmup = Warmup(SERVICE, _COLD_S, per_s)
            self.view.routes.warmups[SERVICE] = warmup
        if version > 1:
            self.handler.view_changed(self.now)

    def _list(self, **changes: Any) -> None:
        self.view.merge(build_record(**changes))
        if 'revision' in changes:
            self.handler.view_changed(self.now)

    def _start(self, *, knows_all: bool = True) -> None:
        handler, outbox = build_flow_handler(self.view, knows_all=knows_all)
        self.handler = handler
        self.outbox = outbox

    def _offer_all(
        self, now: float, numbers: Any, slots: int = 50, **changes: Any
    ) -> list[FlowStatus]:
        statuses = []
        for number in numbers:
            request = build_admission_request(
                build_key(number), slots=slots, **changes
            )
            balancer = _BALANCERS[number % 2]
            self.handler.on_admission_request(now, request, balancer)
            reply, _address = self.outbox.to_daemon[-1]
            assert isinstance(reply, FlowReply)
            statuses.append(reply.status)
        return statuses

    def _answer(self, key: FlowKey) -> None:
        answer = build_packet(key, SYN | ACK, sequence=7, from_backend=True)
        self.handler.on_backend_packet(0, answer)
