"""Tests open flows of a service that the configuration no longer names.

A balancer that started after the service was dropped took its servers for
entries of other writers, queried only the sidecars of the named services, and
reset flows whose servers were alive.
"""

import time
import unittest
from typing import Any

from attrs import evolve

from dragonflyshift._internal.carried.fleet.peers import SIDECAR_TIMEOUT_S
from dragonflyshift._internal.carried.fleet.view import (
    ROUTE_HISTORY_S,
    FleetView,
    ViewUpdate,
)
from dragonflyshift._internal.carried.lookups import (
    UNPROVEN_SERVER_S,
    find_owners,
)
from dragonflyshift._internal.carried.messages import (
    DaemonStatus,
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    LookupOutcome,
    LookupResult,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.records import EndpointRecord
from tests.lib.carried import (
    ACK,
    PEER_PORT,
    SERVICE,
    Outbox,
    build_forwarder,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_routes,
    sidecar_address,
)
from tests.lib.fleet_harness import FleetHarness

_DROPPED = 'export'
_FOREIGN = 'watch'
_KEY = build_key()
_DATA = build_packet(_KEY, ACK, acknowledged=7000, payload=b'GET /')
_DROPPED_RECORD = build_record(8, service=_DROPPED)
_DROPPED_SIDECAR = sidecar_address(_DROPPED_RECORD)


def _build_view(*records: EndpointRecord) -> FleetView:
    """Return the view of a daemon that started after the drop."""
    view = FleetView()
    view.clock = _Clock()
    view.route_history.since = 0
    routes = evolve(build_routes(4), services=frozenset((SERVICE,)))
    listed = (build_record(1), build_record(2), *records)
    view.apply(ViewUpdate(0, 20, listed, routes=routes))
    return view


class _Clock:
    """A clock that is set by hand."""

    now: float = 0

    def __call__(self) -> float:
        return self.now


class FindOwnersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = _build_view(_DROPPED_RECORD)
        self.answering: set[str] = set()
        self.view.is_answering = self.answering.__contains__

    def test_young_view_counts_any_entry_as_a_server(self) -> None:
        self._check(UNPROVEN_SERVER_S - 0.1, is_owner=True)
        self._check(UNPROVEN_SERVER_S, is_owner=False)

    def test_sidecar_that_answers_proves_a_server(self) -> None:
        self.answering.add(_DROPPED_RECORD.host)
        self._check(UNPROVEN_SERVER_S + 10, is_owner=True)

    def test_view_that_is_older_than_any_flow_needs_no_entry(self) -> None:
        self.answering.add(_DROPPED_RECORD.host)
        self._check(ROUTE_HISTORY_S, is_owner=False)

    def test_time_counts_from_the_first_listing(self) -> None:
        """The store may have been away when the daemon started."""
        view = FleetView()
        clock = _Clock()
        view.clock = clock
        view.route_history.since = 0
        clock.now = 30
        view.apply(ViewUpdate(0, 20, (_DROPPED_RECORD,)))
        view.routes = evolve(build_routes(), services=frozenset((SERVICE,)))
        clock.now = 30 + UNPROVEN_SERVER_S - 0.1
        self.assertIn(_DROPPED_RECORD.host, find_owners(view))

    def test_entry_at_the_host_of_a_listed_server_hides_nothing(self) -> None:
        view = _build_view(
            build_record(9, service=_FOREIGN, host='10.1.0.1', started_ms=9999)
        )
        self.assertEqual(find_owners(view)['10.1.0.1'].service, SERVICE)
        self.assertEqual(view.unnamed_by_host(), {})

    def test_probes_fit_any_of_several_services_at_a_host(self) -> None:
        view = _build_view(
            _DROPPED_RECORD,
            build_record(9, service=_FOREIGN, host=_DROPPED_RECORD.host),
        )
        self.assertEqual(find_owners(view)[_DROPPED_RECORD.host].service, '')

    def _check(self, now: float, *, is_owner: bool) -> None:
        clock: Any = self.view.clock
        clock.now = now
        owners = find_owners(self.view)
        self.assertEqual(_DROPPED_RECORD.host in owners, is_owner)


class StartedBalancerTest(unittest.TestCase):
    """Lookups of a balancer that started after the service was dropped."""

    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = _build_view(_DROPPED_RECORD)
        self.forwarder = build_forwarder(self.view, self.outbox)

    def test_open_flow_of_a_dropped_service_is_found(self) -> None:
        self._deny_all_but(_DROPPED_SIDECAR)
        self._answer(_DROPPED_SIDECAR, FlowStatus.OWNED)
        forwarded = [
            (message.service, address)
            for message, address in self.outbox.to_daemon
            if isinstance(message, ForwardedPacket)
        ]
        self.assertEqual(forwarded, [(_DROPPED, _DROPPED_SIDECAR)])

    def test_flow_is_not_reset_while_its_sidecar_is_silent(self) -> None:
        self._deny_all_but(_DROPPED_SIDECAR)
        self._tick(1)
        self.assertEqual(self.outbox.to_client, [])

    def test_flow_is_reset_once_its_sidecar_denies_it(self) -> None:
        self._deny_all_but(None)
        self._tick(1)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_restarted_sidecar_of_a_dropped_service_probes_its_server(self):
        self._deny_all_but(_DROPPED_SIDECAR)
        self._answer(_DROPPED_SIDECAR, FlowStatus.UNSURE)
        message, address = self.outbox.to_daemon[-1]
        self.assertIsInstance(message, ForwardedPacket)
        self.assertEqual(address, _DROPPED_SIDECAR)

    def test_foreign_entry_stops_no_reset_after_some_seconds(self) -> None:
        clock: Any = self.view.clock
        clock.now = UNPROVEN_SERVER_S
        self._deny_all_but(_DROPPED_SIDECAR)
        self._tick(1)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_delegate_that_queried_fewer_sidecars_resets_nothing(self) -> None:
        """Delegates of the build before take the entry for a foreign one."""
        for number in range(30, 50):
            self.view.merge(build_record(number))
        for queried, resets in ((22, 0), (23, 1)):
            forwarder = build_forwarder(self.view, self.outbox)
            self.outbox.clear()
            forwarder.on_client_packet(0, _DATA)
            delegate = self.outbox.to_daemon[0][1]
            result = LookupResult(
                _KEY,
                LookupOutcome.DENIED,
                '',
                queried,
                queried,
                self.view.checksum,
                self.view.routes.version,
            )
            forwarder.on_lookup_result(0.1, result, delegate)
            with self.subTest(queried=queried):
                self.assertEqual(len(self.outbox.to_client), resets)

    def _deny_all_but(self, silent: SocketAddress | None) -> None:
        self.forwarder.on_client_packet(0, _DATA)
        for _ in range(2):
            for address in _queried(self.outbox):
                if address != silent:
                    self._answer(address, FlowStatus.NOT_OWNED)

    def _answer(self, address: SocketAddress, status: FlowStatus) -> None:
        reply = FlowReply(_KEY, status, build_load())
        self.forwarder.on_flow_reply(0.01, reply, address)

    def _tick(self, seconds: float) -> None:
        for step in range(int(seconds / 0.02)):
            self.forwarder.tick(0.02 * step)


class ProofTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = FleetHarness()
        self.addCleanup(self.harness.close)

    async def test_sidecar_of_a_dropped_service_reports_itself(self) -> None:
        balancer = await self.harness.add(1, is_balancer=True)
        sidecar = await self.harness.add(2, is_balancer=False)
        sidecar.peer_table.seeds = ()
        host = self.harness.address(2)[0]
        absent = '127.0.41.9'
        routes = evolve(build_routes(2), services=frozenset((SERVICE,)))
        records = (
            build_record(1, service=_DROPPED, host=host),
            build_record(2, service=_FOREIGN, host=absent),
        )
        balancer.view.apply(ViewUpdate(0, 5, records, routes=routes))
        balancer.view.listed_since = time.monotonic() - UNPROVEN_SERVER_S
        self.assertEqual(dict(find_owners(balancer.view)), {})
        is_proven = await self.harness.run_until(
            lambda: host in find_owners(balancer.view), 2
        )
        self.assertTrue(is_proven)
        self.assertNotIn(absent, find_owners(balancer.view))

    async def test_proof_ends_with_the_sidecar(self) -> None:
        """Another writer may keep an entry at the address of a former server.

        It would stop the resets of the flows that the server had.
        """
        balancer = await self.harness.add(1, is_balancer=True)
        address = ('10.1.0.8', PEER_PORT)
        for is_balancer, is_sidecar in ((False, True), (True, False)):
            status = DaemonStatus(
                is_balancer, False, 'klang', 5, 2, 0, 0, False, False
            )
            balancer.peer_table.record_status(50, address, status)
            with self.subTest(is_balancer=is_balancer):
                found = balancer.peer_table.is_sidecar(51, address)
                self.assertEqual(found, is_sidecar)
                ended = balancer.peer_table.is_sidecar(
                    50 + SIDECAR_TIMEOUT_S, address
                )
                self.assertFalse(ended)


def _queried(outbox: Outbox) -> list[SocketAddress]:
    return [
        address
        for message, address in outbox.to_daemon
        if isinstance(message, OwnershipQuery)
    ]
