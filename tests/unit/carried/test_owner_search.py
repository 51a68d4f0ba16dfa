"""Tests owner lookups of flows that are older than their routes.

A change of routes leaves open flows at their servers. A lookup that queries
only the sidecars of the present services is denied by all of them, and the
balancer resets a flow whose server serves it.
"""

import unittest

from attrs import evolve

from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    ForwardedPacket,
    LookupOutcome,
    LookupRequest,
    LookupResult,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.owner_search import (
    OwnerCandidates,
    RouteHistory,
    is_server_lost,
)
from dragonflyshift._internal.carried.routes import RouteTable, WeightedService
from dragonflyshift._internal.carried.sidecar.lookup_delegate import (
    LookupDelegate,
    LookupDelegateCallbacks,
)
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    PEER_PORT,
    SERVICE,
    Outbox,
    build_flow_handler,
    build_forwarder,
    build_key,
    build_load,
    build_packet,
    build_record,
    build_route,
    build_routes,
    ignore,
    sidecar_address,
)

_CODEC = PlatformCodec()
_KEY = build_key()
_BALANCER: SocketAddress = ('10.2.0.1', PEER_PORT)
_FORMER = 'lists-before'
_UNRELATED = 'parts'
_LARGE = 30


def _routes(version: int, *services: str) -> RouteTable:
    weighted = tuple(WeightedService(name, 1) for name in services)
    return build_routes(version, (build_route(services=weighted),))


def _build_view(present: int = 2) -> FleetView:
    """Return a view whose route has led to another service before.

    The first endpoint belongs to that service, the second to one to which the
    route has never led, all others to the present service.
    """
    view = FleetView()
    view.merge(build_record(1, service=_FORMER))
    view.merge(build_record(2, service=_UNRELATED))
    for number in range(3, present + 3):
        view.merge(build_record(number))
    view.routes = _routes(1, _FORMER)
    return view


def _move_route(view: FleetView) -> None:
    view.apply(ViewUpdate(base=1, revision=1, routes=_routes(2, SERVICE)))


_FORMER_SIDECAR = sidecar_address(build_record(1))
_UNRELATED_SIDECAR = sidecar_address(build_record(2))
_DATA = build_packet(_KEY, ACK, acknowledged=7000, payload=b'GET /')


class BalancerLookupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = _build_view()
        _move_route(self.view)
        self.forwarder = build_forwarder(self.view, self.outbox)

    def test_owner_in_a_former_service_is_found(self) -> None:
        self.forwarder.on_client_packet(0, _DATA)
        self.assertIn(_FORMER_SIDECAR, _queried(self.outbox))
        self._answer(_FORMER_SIDECAR, FlowStatus.OWNED)
        self.assertEqual(_forwarded(self.outbox), [(_FORMER, _FORMER_SIDECAR)])

    def test_owner_is_found_by_a_balancer_that_joined_after_the_change(
        self,
    ) -> None:
        """Its view never had the former route."""
        view = _build_view()
        view.routes = _routes(2, SERVICE)
        self.forwarder = build_forwarder(view, self.outbox)
        self.forwarder.on_client_packet(0, _DATA)
        self.assertNotIn(_FORMER_SIDECAR, _queried(self.outbox))
        for address in _queried(self.outbox):
            self._answer(address, FlowStatus.NOT_OWNED)
        self.assertIn(_FORMER_SIDECAR, _queried(self.outbox))
        self._answer(_FORMER_SIDECAR, FlowStatus.OWNED)
        self.assertEqual(_forwarded(self.outbox), [(_FORMER, _FORMER_SIDECAR)])

    def test_missing_reply_does_not_prevent_queries_to_all(self) -> None:
        """A sidecar of the present service may just be restarting."""
        view = _build_view()
        view.routes = _routes(2, SERVICE)
        self.forwarder = build_forwarder(view, self.outbox)
        self.forwarder.on_client_packet(0, _DATA)
        self.forwarder.tick(0.04)
        self.assertIn(_FORMER_SIDECAR, _queried(self.outbox))

    def test_flow_is_reset_only_once_all_sidecars_deny_it(self) -> None:
        self.forwarder.on_client_packet(0, _DATA)
        for address in _queried(self.outbox):
            self._answer(address, FlowStatus.NOT_OWNED)
        self.forwarder.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])
        self._answer(_UNRELATED_SIDECAR, FlowStatus.NOT_OWNED)
        self.forwarder.tick(0.2)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_flow_probe_names_the_service_of_its_sidecar(self) -> None:
        """A restarted sidecar denies the probe of another service's flow."""
        self.forwarder.on_client_packet(0, _DATA)
        self._answer(_FORMER_SIDECAR, FlowStatus.UNSURE)
        self.forwarder.tick(0.04)
        probes = _forwarded(self.outbox)
        self.assertEqual(probes, [(_FORMER, _FORMER_SIDECAR)])

    def test_flow_probe_of_a_weighted_route_names_its_own_service(self) -> None:
        """The hash of the flow may choose the other service by now."""
        self.view.apply(
            ViewUpdate(base=1, revision=1, routes=_routes(3, SERVICE, _FORMER))
        )
        self.forwarder.on_client_packet(0, _DATA)
        for address in _queried(self.outbox):
            self._answer(address, FlowStatus.UNSURE)
        services = {
            _FORMER_SIDECAR: _FORMER,
            **{
                sidecar_address(build_record(number)): SERVICE
                for number in (3, 4)
            },
        }
        self.assertEqual(
            {address: name for name, address in _forwarded(self.outbox)},
            services,
        )

    def test_no_probe_goes_to_a_service_without_the_route(self) -> None:
        """The view is older than all open flows and has seen all routes."""
        self.view.route_history.since = float('-inf')
        self.forwarder.on_client_packet(0, _DATA)
        for address in _queried(self.outbox):
            self._answer(address, FlowStatus.NOT_OWNED)
        self._answer(_UNRELATED_SIDECAR, FlowStatus.UNSURE)
        self.forwarder.tick(0.1)
        self.forwarder.tick(0.5)
        self.assertEqual(_forwarded(self.outbox), [])
        self.assertEqual(self.outbox.to_client, [])

    def test_probes_follow_to_other_services_if_a_former_route_may_lack(
        self,
    ) -> None:
        """Lost the flow: the only probes went to servers that bounced them.

        The route moved, and then all daemons restarted, so that no view has
        its former service and no sidecar has a record of the flow.
        """
        view = _build_view()
        view.routes = _routes(2, SERVICE)
        self.forwarder = build_forwarder(view, self.outbox)
        self.forwarder.on_client_packet(0, _DATA)
        likely = set(_queried(self.outbox))
        for address in likely:
            self._answer(address, FlowStatus.UNSURE)
        self.forwarder.tick(0.04)
        for address in (_FORMER_SIDECAR, _UNRELATED_SIDECAR):
            self._answer(address, FlowStatus.UNSURE)
        self.assertEqual({at for _, at in _forwarded(self.outbox)}, likely)
        for address in likely:
            self._answer(address, FlowStatus.NOT_OWNED)
        others = [
            row for row in _forwarded(self.outbox) if row[1] not in likely
        ]
        self.assertEqual(
            sorted(others),
            [(_FORMER, _FORMER_SIDECAR), (_UNRELATED, _UNRELATED_SIDECAR)],
        )
        self._answer(_UNRELATED_SIDECAR, FlowStatus.NOT_OWNED)
        self._answer(_FORMER_SIDECAR, FlowStatus.OWNED)
        self.assertEqual(len(_forwarded(self.outbox)), len(likely) + 2)
        self.assertEqual(self.forwarder.lookups.pending, {})

    def test_server_that_bounced_a_flow_gets_no_further_probe(self) -> None:
        """A sidecar of the build before is unsure again after the bounce.

        Each retransmission reached the servers of all such sidecars while the
        owner of the flow restarted.
        """
        bouncing = sidecar_address(build_record(3))
        for started_at in (0, 0.4, 0.8):
            self.forwarder.on_client_packet(started_at, _DATA)
            self._answer(bouncing, FlowStatus.UNSURE)
            self.forwarder.tick(started_at + 0.04)
            self._answer(bouncing, FlowStatus.NOT_OWNED)
            self.forwarder.tick(started_at + 0.36)
        probed = [address for _, address in _forwarded(self.outbox)]
        self.assertEqual(probed, [bouncing])
        self.assertEqual(self.outbox.to_client, [])
        self.forwarder.on_client_packet(9, _DATA)
        self._answer(bouncing, FlowStatus.UNSURE)
        self.forwarder.tick(9.04)
        self.assertEqual(len(_forwarded(self.outbox)), 2)

    def test_silent_likely_owner_does_not_prevent_other_probes(self) -> None:
        """Its entry may stay listed for as long as the store is down."""
        view = _build_view()
        view.routes = _routes(2, SERVICE)
        self.forwarder = build_forwarder(view, self.outbox)
        self.forwarder.on_client_packet(0, _DATA)
        self.forwarder.tick(0.04)
        self._answer(_FORMER_SIDECAR, FlowStatus.UNSURE)
        self.forwarder.tick(0.06)
        self.assertEqual(_forwarded(self.outbox), [(_FORMER, _FORMER_SIDECAR)])

    def test_flow_that_all_servers_bounce_is_reset(self) -> None:
        view = _build_view()
        view.routes = _routes(2, SERVICE)
        self.forwarder = build_forwarder(view, self.outbox)
        self.forwarder.on_client_packet(0, _DATA)
        for status in (FlowStatus.UNSURE, FlowStatus.NOT_OWNED):
            for number in (3, 4, 1, 2):
                self._answer(sidecar_address(build_record(number)), status)
            self.forwarder.tick(0.04)
        for number in (1, 2):
            address = sidecar_address(build_record(number))
            self._answer(address, FlowStatus.NOT_OWNED)
        self.forwarder.tick(0.2)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_entries_of_other_writers_do_not_prevent_a_reset(self) -> None:
        """No sidecar runs at their addresses that could deny the flow."""
        self.view.merge(build_record(9, service='machine-watch'))
        named = frozenset((SERVICE, _FORMER, _UNRELATED))
        routes = evolve(_routes(3, SERVICE), services=named)
        self.view.apply(ViewUpdate(base=1, revision=1, routes=routes))
        self.forwarder.on_client_packet(0, _DATA)
        for address in _queried(self.outbox):
            self._answer(address, FlowStatus.NOT_OWNED)
        for address in _queried(self.outbox):
            self._answer(address, FlowStatus.NOT_OWNED)
        self.forwarder.tick(0.2)
        self.assertEqual(len(self.outbox.to_client), 1)

    def test_flow_is_not_reset_while_no_endpoint_is_listed(self) -> None:
        for number in range(1, 5):
            self.view.remove(f'instance-{number}', 50)
        self.forwarder.on_client_packet(0, _DATA)
        self.forwarder.tick(0.1)
        self.forwarder.tick(0.5)
        self.assertEqual(self.outbox.to_client, [])
        self.assertEqual(self.forwarder.lookups.pending, {})

    def test_unsure_reply_after_the_denial_prevents_a_reset(self) -> None:
        """A sidecar restarted after its first reply."""
        self.forwarder.on_client_packet(0, _DATA)
        for _ in range(2):
            for address in _queried(self.outbox):
                self._answer(address, FlowStatus.NOT_OWNED)
        self._answer(_FORMER_SIDECAR, FlowStatus.UNSURE)
        self.forwarder.tick(0.1)
        self.assertEqual(self.outbox.to_client, [])

    def _answer(self, address: SocketAddress, status: FlowStatus) -> None:
        reply = FlowReply(_KEY, status, build_load())
        self.forwarder.on_flow_reply(0.01, reply, address)


class DelegatedLookupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()
        self.view = _build_view(_LARGE)
        _move_route(self.view)

    def test_delegate_finds_the_owner_in_a_former_service(self) -> None:
        delegate = self._start_delegate()
        self.assertIn(_FORMER_SIDECAR, _queried(self.outbox))
        self._answer(delegate, _FORMER_SIDECAR, FlowStatus.OWNED)
        self.assertEqual(_forwarded(self.outbox), [(_FORMER, _FORMER_SIDECAR)])
        self.assertIs(self._result().outcome, LookupOutcome.OWNED)

    def test_delegate_denies_only_after_all_sidecars_have(self) -> None:
        delegate = self._start_delegate()
        for address in _queried(self.outbox):
            self._answer(delegate, address, FlowStatus.NOT_OWNED)
        delegate.tick(0.2)
        self.assertEqual(self._results(), [])
        self._answer(delegate, _UNRELATED_SIDECAR, FlowStatus.NOT_OWNED)
        delegate.tick(0.3)
        self.assertIs(self._result().outcome, LookupOutcome.DENIED)
        self.assertEqual(self._result().queried, _LARGE + 2)

    def test_denial_of_an_earlier_version_resets_nothing(self) -> None:
        """Its delegates query only the sidecars of the present services."""
        for queried, resets in ((_LARGE, 0), (_LARGE + 2, 1)):
            with self.subTest(queried=queried):
                self.outbox.clear()
                forwarder = build_forwarder(self.view, self.outbox)
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
                self.assertEqual(len(self.outbox.to_client), resets)

    def test_lookup_for_a_service_without_endpoints_has_a_delegate(
        self,
    ) -> None:
        self.view.apply(
            ViewUpdate(base=1, revision=1, routes=_routes(3, 'empty'))
        )
        forwarder = build_forwarder(self.view, self.outbox)
        forwarder.on_client_packet(0, _DATA)
        self.assertIsInstance(self.outbox.to_daemon[0][0], LookupRequest)

    def _start_delegate(self) -> LookupDelegate:
        delegate = LookupDelegate(
            self.view,
            _CODEC,
            LookupDelegateCallbacks(
                self.outbox.add_datagram,
                sidecar_address,
                ignore,
                self.fail,
            ),
        )
        delegate.on_message(0, LookupRequest(SERVICE, _DATA), _BALANCER)
        return delegate

    def _answer(
        self,
        delegate: LookupDelegate,
        address: SocketAddress,
        status: FlowStatus,
    ) -> None:
        delegate.on_message(
            0.02, FlowReply(_KEY, status, build_load()), address
        )

    def _results(self) -> list[LookupResult]:
        return [
            message
            for message, _address in self.outbox.to_daemon
            if isinstance(message, LookupResult)
        ]

    def _result(self) -> LookupResult:
        (result,) = self._results()
        return result


class ProbedSidecarTest(unittest.TestCase):
    def test_sidecar_of_a_former_service_probes_its_server(self) -> None:
        """The service name in the probe is that of the sidecar."""
        handler, outbox = build_flow_handler(knows_all=False)
        probe = ForwardedPacket(SERVICE, _DATA)
        handler.on_forwarded_packet(0, probe, _BALANCER)
        self.assertEqual(len(outbox.to_backend), 1)

    def test_probe_for_another_service_is_neither_delivered_nor_denied(
        self,
    ) -> None:
        """Its address may have been that of another server before.

        A denial would let the balancer reset a flow that this server holds.
        """
        handler, outbox = build_flow_handler(knows_all=False)
        probe = ForwardedPacket(_UNRELATED, _DATA)
        handler.on_forwarded_packet(0, probe, _BALANCER)
        self.assertEqual(outbox.to_backend, [])
        reply = outbox.to_daemon[0][0]
        assert isinstance(reply, FlowReply)
        self.assertIs(reply.status, FlowStatus.UNSURE)
        self.assertEqual(reply.raw, _DATA)

    def test_packet_returned_as_unsure_is_looked_up(self) -> None:
        """The balancer had cached the sidecar under another service."""
        outbox = Outbox()
        forwarder = build_forwarder(_build_view(), outbox)
        accepted = FlowReply(_KEY, FlowStatus.ACCEPTED, build_load())
        forwarder.on_flow_reply(0, accepted, _FORMER_SIDECAR)
        returned = FlowReply(_KEY, FlowStatus.UNSURE, build_load(), _DATA)
        forwarder.on_flow_reply(0.1, returned, _FORMER_SIDECAR)
        self.assertIn(_FORMER_SIDECAR, _queried(outbox))


class RouteHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = RouteHistory(lifetime_s=60)

    def test_former_services_are_kept_for_the_lifetime(self) -> None:
        self._record(0, _routes(1, 'one', 'two'), _routes(2, 'two'))
        self.assertEqual(self._services(59), {'one', 'two'})
        self.assertEqual(self._services(61), set())

    def test_service_that_returned_and_left_is_kept_anew(self) -> None:
        tables = [_routes(1, 'one'), _routes(2, 'two'), _routes(3, 'one')]
        self._record(0, tables[0], tables[1])
        self._record(30, tables[1], tables[2])
        self._record(50, tables[2], _routes(4, 'three'))
        self.assertEqual(self._services(100), {'one'})

    def test_services_of_a_removed_route_are_kept(self) -> None:
        self._record(0, _routes(1, 'one'), RouteTable(2))
        self.assertEqual(self._services(10), {'one'})

    def test_unchanged_route_leaves_no_history(self) -> None:
        self._record(0, _routes(1, 'one'), _routes(2, 'one'))
        self.assertEqual(self._services(10), set())

    def test_history_is_complete_once_it_is_older_than_any_flow(self) -> None:
        history = RouteHistory(lifetime_s=60, since=100)
        self.assertFalse(history.is_complete(159))
        self.assertTrue(history.is_complete(160))

    def _record(
        self, now: float, before: RouteTable, after: RouteTable
    ) -> None:
        self.history.record_change(now, before, after)

    def _services(self, now: float) -> set[str]:
        return set(self.history.services(now, _KEY[6:]))


class ServerLostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sidecars = {('10.1.0.1', 1), ('10.1.0.2', 1)}

    def test_denial_by_all_sidecars_of_a_current_view_is_needed(self) -> None:
        one = {('10.1.0.1', 1)}
        for queried, denied, is_current, expected in (
            (self.sidecars, self.sidecars, True, True),
            (self.sidecars, self.sidecars, False, False),
            (self.sidecars, one, True, False),
            (one, one, True, False),
        ):
            with self.subTest(queried=queried, denied=denied):
                is_lost = is_server_lost(
                    queried, denied, self.sidecars, is_view_current=is_current
                )
                self.assertIs(is_lost, expected)

    def test_view_without_sidecars_proves_nothing(self) -> None:
        """The servers may register again after a loss of power."""
        self.assertFalse(
            is_server_lost(set(), set(), set(), is_view_current=True)
        )

    def test_candidates_keep_the_services_of_their_servers(self) -> None:
        rows = [(('10.1.0.1', 1), 'one'), (('10.1.0.2', 1), 'two')]
        candidates = OwnerCandidates.split(rows, {'one'})
        self.assertEqual(candidates.likely, {('10.1.0.1', 1): 'one'})
        self.assertEqual(candidates.service_of(('10.1.0.2', 1)), 'two')


def _queried(outbox: Outbox) -> list[SocketAddress]:
    return [
        address
        for message, address in outbox.to_daemon
        if isinstance(message, OwnershipQuery)
    ]


def _forwarded(outbox: Outbox) -> list[tuple[str, SocketAddress]]:
    return [
        (message.service, address)
        for message, address in outbox.to_daemon
        if isinstance(message, ForwardedPacket)
    ]
