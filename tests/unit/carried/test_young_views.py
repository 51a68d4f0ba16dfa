"""Tests that a view that is young resets no flow of a server that it lacks.

Entries lapse in an outage of the store and return within two seconds. A
balancer that started in between listed the others, took their denial for
complete and reset open flows of a living server.
"""

import time
import unittest
from random import Random

from dragonflyshift._internal.carried.fleet.peers import PeerTable
from dragonflyshift._internal.carried.fleet.reader import REMOVAL_GRACE_S
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.carried.messages import FlowReply, FlowStatus
from dragonflyshift._internal.carried.packet import SocketAddress
from tests.lib.carried import (
    ACK,
    PEER_PORT,
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
from tests.lib.fleet_harness import FleetHarness
from tests.lib.gossip import build_status

_LISTED_AT = 100.0
# Within the time in which entries return, and after it.
_YOUNG_AT = _LISTED_AT + 1
_SETTLED_AT = _LISTED_AT + REMOVAL_GRACE_S + 0.2
_CONFIRMATION_S = 0.1


class YoungViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = build_view(endpoints=2)
        self.view.listed_since = _LISTED_AT
        self.view.clock = lambda: self.now
        self.now = _LISTED_AT
        self.view_age_s: float = 0
        self.has_same_view = False
        self.requested: list[set[SocketAddress]] = []
        self.forwarder = build_forwarder(
            self.view,
            self.outbox,
            lambda _now: self.view_age_s,
            has_same_view=lambda _sidecars: self.has_same_view,
            request_statuses=lambda _now, targets: self.requested.append(
                set(targets)
            ),
        )

    def test_denial_by_sidecars_that_list_others_resets_nothing(self) -> None:
        self._deny(_YOUNG_AT)
        self.assertEqual(self.outbox.to_client, [])

    def test_denial_by_sidecars_with_the_same_list_resets(self) -> None:
        """After a loss of all power clients need resets soon."""
        self.has_same_view = True
        self._deny(_YOUNG_AT)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_view_that_is_confirmed_for_long_enough_resets(self) -> None:
        self._deny(_SETTLED_AT)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_time_without_a_confirmation_proves_nothing(self) -> None:
        """The store may be down again, so that nothing could return."""
        self.view_age_s = _SETTLED_AT - _LISTED_AT
        self._deny(_SETTLED_AT)
        self.assertEqual(self.outbox.to_client, [])

    def test_sidecars_are_asked_for_their_lists_at_a_limited_rate(self):
        for number in range(5):
            self._deny(_YOUNG_AT, number)
        sidecars = {
            sidecar_address(record) for record in self.view.records.values()
        }
        self.assertEqual(self.requested, [sidecars])

    def test_settled_view_asks_for_nothing(self) -> None:
        self._deny(_SETTLED_AT)
        self.assertEqual(self.requested, [])

    def _deny(self, now: float, number: int = 1) -> None:
        """Let all sidecars deny a flow."""
        self.now = now
        key = build_key(number)
        raw = build_packet(key, ACK, payload=b'GET')
        self.forwarder.on_client_packet(now, raw)
        for record in self.view.records.values():
            reply = FlowReply(key, FlowStatus.NOT_OWNED, build_load())
            self.forwarder.on_flow_reply(now, reply, sidecar_address(record))
        self.forwarder.tick(now + _CONFIRMATION_S)


class SameEndpointsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peer_table = PeerTable(('10.0.0.1', PEER_PORT), (), Random(1))
        self.sidecars = [
            sidecar_address(build_record(number)) for number in (1, 2)
        ]

    def test_sidecar_has_to_report_the_list_of_this_view(self) -> None:
        first = self.sidecars[:1]
        self.assertFalse(self.peer_table.have_reported(first, 7))
        self._report(first[0], 6)
        self.assertFalse(self.peer_table.have_reported(first, 7))
        self._report(first[0], 7)
        self.assertTrue(self.peer_table.have_reported(first, 7))

    def test_every_sidecar_has_to_report_it(self) -> None:
        self._report(self.sidecars[0], 7)
        self.assertFalse(self.peer_table.have_reported(self.sidecars, 7))
        self._report(self.sidecars[1], 7)
        self.assertTrue(self.peer_table.have_reported(self.sidecars, 7))

    def _report(self, sidecar: SocketAddress, digest: int) -> None:
        status = build_status(is_balancer=False, digest=digest)
        self.peer_table.record_status(0, sidecar, status)


class LapsedEntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_balancer_that_starts_gets_the_entry_from_a_sidecar(self):
        """Until then the sidecar's list differs from its own."""
        harness = FleetHarness()
        self.addCleanup(harness.close)
        started = await harness.add(1, is_balancer=True)
        sidecar = await harness.add(2, is_balancer=False)
        host = harness.address(2)[0]
        records = (build_record(1, host=host), build_record(2))
        routes = build_routes(2)
        sidecar.view.apply(ViewUpdate(0, 5, records, routes=routes))
        # The entry of the second server has lapsed.
        started.view.apply(ViewUpdate(0, 6, records[:1], routes=routes))
        started.gossip.record_confirmation(time.monotonic())
        address = harness.address(2)
        self.assertFalse(started.has_same_endpoints([address]))
        agrees = await harness.run_until(
            lambda: started.has_same_endpoints([address]), 2
        )
        self.assertTrue(agrees)
        self.assertIn('instance-2', started.view.records)
