"""Tests the deferral of refusals while the servers of a service warm up.

A client that is refused tries again at once and gives up after two retries.
After a loss of all power, clients used up their retries within 30 ms, before
any server had a free slot.
"""

import unittest

from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    FlowReply,
    FlowStatus,
)
from dragonflyshift._internal.carried.policies.deferral import (
    ColdServiceDeferral,
)
from tests.lib.carried import (
    SYN,
    Outbox,
    build_forwarder,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_route,
    build_routes,
    sidecar_address,
)

_SERVERS = 3
_WARMUP_MS = 5000
_TIMEOUT_MS = 3000


class DeferralTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.key = build_key()

    def test_refused_flow_is_offered_again_while_servers_are_cold(self) -> None:
        self._start(cold=_SERVERS)
        self._send_first_packet()
        self._refuse_all(0.01)
        self.assertEqual(self.outbox.to_client, [])
        self.forwarder.tick(0.12)
        message = self.outbox.to_daemon[-1][0]
        assert isinstance(message, AdmissionRequest)
        self.assertEqual(message.waited_ms, 120)
        self.assertEqual(self.forwarder.placer.counters.counts['deferred'], 1)

    def test_flow_is_refused_at_once_without_the_setting(self) -> None:
        self._start(cold=_SERVERS)
        self.forwarder.placer.defers_refusals = False
        self._send_first_packet()
        self._refuse_all(0.01)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_refused_flow_leaves_half_of_the_timeout(self) -> None:
        """The client needs it to try again."""
        cold = [
            SidecarTable('').placement_option(
                0, build_record(warmup_ms=_WARMUP_MS), ('', 0)
            )
        ]
        deferral = ColdServiceDeferral()
        self.assertTrue(deferral.should_defer(cold, 490, 1000))
        self.assertFalse(deferral.should_defer(cold, 510, 1000))
        self.assertFalse(deferral.should_defer(cold, 1210, 3000))

    def test_deferred_flow_that_is_late_is_offered_to_idle_servers(
        self,
    ) -> None:
        """In a queue it would delay flows that can still be in time."""
        self._start(cold=_SERVERS)
        self._send_first_packet()
        self._refuse_all(0.01)
        self.forwarder.tick(0.3)
        self.outbox.clear()
        self.forwarder.tick(0.41)
        self.assertEqual(self.outbox.to_daemon, [])
        load = build_load(sequence=9)
        address = sidecar_address(build_record(1))
        self.forwarder.sidecars.record_report(0.42, address, load)
        self.forwarder.tick(0.52)
        message, target = self.outbox.to_daemon[-1]
        assert isinstance(message, AdmissionRequest)
        self.assertEqual((target, message.is_last), (address, False))

    def test_flow_is_refused_at_once_if_most_servers_are_warm(self) -> None:
        """In lasting overload a flow would only wait for its refusal."""
        self._start(cold=1)
        self._send_first_packet()
        self._refuse_all(0.01)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_flow_is_refused_before_its_client_abandons_it(self) -> None:
        """The last copy of a first packet is sent 0.6 s after the first."""
        self._start(cold=_SERVERS)
        self._send_first_packet(copy=2)
        self._refuse_all(0.5)
        self.assertEqual(self.outbox.to_client, [])
        self.forwarder.tick(0.65)
        self._refuse_all(0.66)
        self.assertEqual(len(self.outbox.to_client), 1)

    def _start(self, cold: int) -> None:
        view = FleetView()
        view.routes = build_routes(1, (build_route(timeout_ms=_TIMEOUT_MS),))
        for number in range(1, _SERVERS + 1):
            warmup_ms = _WARMUP_MS if number <= cold else 0
            view.merge(build_record(number, warmup_ms=warmup_ms))
        self.forwarder = build_forwarder(view, self.outbox)
        self.forwarder.placer.defers_refusals = True

    def _send_first_packet(self, copy: int = 0) -> None:
        raw = build_packet(self.key, SYN, acknowledged=copy)
        self.forwarder.on_client_packet(0, raw)

    def _refuse_all(self, now: float) -> None:
        """Refuse the flow until no offer is pending any more."""
        pending = self.forwarder.placer.pending
        while self.key in pending:
            address = pending[self.key].offered_to
            if address is None:
                return
            load = build_load(busy=9, service_ms=900)
            reply = FlowReply(self.key, FlowStatus.REFUSED, load)
            self.forwarder.on_flow_reply(now, reply, address)


if __name__ == '__main__':
    unittest.main()
