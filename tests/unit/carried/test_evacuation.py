"""Tests that an evacuated data centre gets no new flow until it is restored.

A record that is lost, older or missing after an outage must neither send new
flows to a data centre that operators work on, nor keep it empty for good.
"""

import time
import unittest

import msgpack

from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    encode_evacuations,
    endpoint_name,
    find_claims,
    split_removals,
)
from dragonflyshift._internal.carried.fleet.exchange import (
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.member import FleetMember
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    ChangeNotice,
    FlowReply,
    FlowStatus,
)
from dragonflyshift._internal.carried.policies.evacuation import (
    MAX_CLAIMS,
    EvacuationRecord,
    EvacuationTable,
)
from tests.lib.build_before import split_removals_before
from tests.lib.carried import (
    DATA_CENTER,
    SERVICE,
    SYN,
    Outbox,
    build_admission_request,
    build_evacuation,
    build_flow_handler,
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

_BALANCER = ('10.0.0.1', 7720)
_OTHER_DATA_CENTER = 'ipoh'
# The time within which a request of the operator must be in force.
_BOUND_S = 5.0


def _view_of_two_data_centers() -> FleetView:
    view = build_view(endpoints=2)
    view.merge(build_record(3, data_center=_OTHER_DATA_CENTER))
    return view


class EvacuationTableTest(unittest.TestCase):
    def test_requests_merge_in_any_order(self) -> None:
        first = build_evacuation(3)
        end = build_evacuation(5, is_evacuated=False)
        again = build_evacuation(8)
        for order in ((first, end, again), (again, first, end)):
            table = EvacuationTable()
            for record in order:
                table.merge(record)
            self.assertEqual(table.evacuated, {DATA_CENTER})

    def test_newer_request_outlives_an_older_listing(self) -> None:
        table = EvacuationTable()
        table.merge(build_evacuation(9))
        self.assertFalse(table.merge_listing((), 8, is_tentative=False))
        self.assertTrue(table.is_evacuated(DATA_CENTER))

    def test_missing_entry_ends_an_evacuation_once_confirmed(self) -> None:
        table = EvacuationTable()
        table.merge(build_evacuation(3))
        table.merge_listing((), 8, is_tentative=True)
        self.assertTrue(table.is_evacuated(DATA_CENTER))
        table.confirm()
        self.assertFalse(table.is_evacuated(DATA_CENTER))

    def test_entry_that_returns_keeps_the_evacuation(self) -> None:
        table = EvacuationTable()
        table.merge(build_evacuation(3))
        table.merge_listing((), 8, is_tentative=True)
        table.merge_listing((build_evacuation(3),), 9, is_tentative=True)
        self.assertEqual(table.confirm(), ())
        self.assertTrue(table.is_evacuated(DATA_CENTER))


class EvacuationClaimTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = EvacuationTable()

    def test_claim_changes_nothing_by_itself(self) -> None:
        self.table.add_claim(build_evacuation(9))
        self.assertEqual(self.table.evacuated, frozenset())
        self.table.merge(build_evacuation(3))
        self.table.add_claim(build_evacuation(10, is_evacuated=False))
        self.assertTrue(self.table.is_evacuated(DATA_CENTER))

    def test_claim_of_what_is_known_is_dropped(self) -> None:
        self.table.merge(build_evacuation(9))
        self.table.add_claim(build_evacuation(12))
        self.table.add_claim(build_evacuation(8, is_evacuated=False))
        self.assertEqual(self.table.claims, {})

    def test_request_of_the_store_settles_a_claim(self) -> None:
        self.table.add_claim(build_evacuation(9))
        self.table.merge(build_evacuation(9))
        self.assertEqual(self.table.claims, {})

    def test_claims_are_bounded(self) -> None:
        for number in range(2 * MAX_CLAIMS):
            name = f'klang-{number}'
            self.table.add_claim(EvacuationRecord(name, 9, is_evacuated=True))
        self.assertEqual(len(self.table.claims), MAX_CLAIMS)


class EvacuationRowsTest(unittest.TestCase):
    def test_rows_keep_requests_apart_from_removals(self) -> None:
        records = (
            build_evacuation(3),
            EvacuationRecord(_OTHER_DATA_CENTER, 4, is_evacuated=False),
        )
        rows = (('instance-1', 2), *encode_evacuations(records))
        removed, evacuations = split_removals(rows)
        self.assertEqual(removed, (('instance-1', 2),))
        self.assertEqual(evacuations, records)

    def test_unknown_reserved_name_is_no_endpoint(self) -> None:
        self.assertEqual(split_removals([('\x01later:klang', 3)]), ((), ()))

    def test_build_before_passes_an_evacuation_on_as_a_claim(self) -> None:
        """That build may also have made the row from a foreign entry."""
        view_before = build_view()
        for name, revision in encode_evacuations((build_evacuation(7),)):
            view_before.remove(name, revision)
        view_before.revision = 7
        update = decode_update(encode_update(view_before, 3, 1))
        self.assertEqual(update.evacuations, ())
        self.assertEqual(update.claims, (build_evacuation(7),))
        self.assertEqual(len(view_before.records), 3)

    def test_build_before_decodes_an_evacuation_and_its_end(self) -> None:
        for request in (
            build_evacuation(7),
            build_evacuation(8, is_evacuated=False),
        ):
            rows = (('instance-1', 2), *encode_evacuations((request,)))
            removed, evacuations = split_removals_before(rows)
            with self.subTest(is_evacuated=request.is_evacuated):
                self.assertEqual(removed, (('instance-1', 2),))
                self.assertEqual(evacuations, (request,))

    def test_row_of_the_build_before_is_only_a_claim(self) -> None:
        """A foreign entry of that name emptied a data centre for good."""
        rows = (('\x01evacuated:klang', 9), ('\x01in-service:ipoh', 9))
        self.assertEqual(split_removals(rows), ((), ()))
        self.assertEqual(
            find_claims(rows),
            (
                EvacuationRecord('klang', 9, is_evacuated=True),
                EvacuationRecord('ipoh', 9, is_evacuated=False),
            ),
        )

    def test_endpoint_with_a_reserved_identifier_can_be_removed(self) -> None:
        for identifier in ('\x01evacuated:klang', '\x01id:klang', '\x01'):
            rows = ((endpoint_name(identifier), 9),)
            with self.subTest(identifier=identifier):
                self.assertEqual(split_removals(rows), (rows, ()))
                self.assertEqual(find_claims(rows), ())

    def test_pull_has_the_five_fields_of_the_build_before(self) -> None:
        view = build_view()
        view.evacuations.merge(build_evacuation(7))
        fields = msgpack.unpackb(encode_update(view, 0, 0))
        self.assertEqual(len(fields), 5)
        update = decode_update(encode_update(view, 0, 0))
        self.assertEqual(update.evacuations, (build_evacuation(7),))


class EvacuatedViewTest(unittest.TestCase):
    def test_placement_skips_and_lookups_keep_evacuated_endpoints(self) -> None:
        view = _view_of_two_data_centers()
        view.evacuations.merge(build_evacuation(7))
        placeable = view.placeable_endpoints(SERVICE)
        self.assertEqual([rec.name for rec in placeable], ['instance-3'])
        self.assertEqual(len(view.endpoints(SERVICE)), 3)
        view.evacuations.merge(build_evacuation(8, is_evacuated=False))
        self.assertEqual(len(view.placeable_endpoints(SERVICE)), 3)

    def test_state_of_a_peer_that_lacks_it_ends_no_evacuation(self) -> None:
        view = _view_of_two_data_centers()
        view.evacuations.merge(build_evacuation(7))
        view.apply(ViewUpdate(0, 9, (build_record(1),)))
        self.assertTrue(view.evacuations.is_evacuated(DATA_CENTER))

    def test_listing_of_the_store_ends_an_evacuation(self) -> None:
        view = _view_of_two_data_centers()
        view.evacuations.merge(build_evacuation(7))
        state = ViewUpdate(0, 9, (build_record(1),), lists_evacuations=True)
        self.assertTrue(view.apply(state))
        self.assertFalse(view.evacuations.evacuated)


class EvacuatedBalancerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = Outbox()

    def test_new_flows_go_to_other_data_centers(self) -> None:
        view = _view_of_two_data_centers()
        view.evacuations.merge(build_evacuation(7))
        forwarder = build_forwarder(view, self.outbox)
        for number in range(20):
            packet = build_packet(build_key(number), SYN)
            forwarder.on_client_packet(0, packet)
        hosts = {address[0] for _message, address in self.outbox.to_daemon}
        self.assertEqual(hosts, {build_record(3).host})

    def test_flow_is_refused_at_once_if_no_data_center_is_left(self) -> None:
        view = build_view()
        view.evacuations.merge(build_evacuation(7))
        forwarder = build_forwarder(view, self.outbox)
        forwarder.on_client_packet(0, build_packet(build_key(), SYN))
        self.assertEqual(len(self.outbox.to_client), 1)
        self.assertEqual(self.outbox.to_daemon, [])
        self.assertFalse(forwarder.has_waiting())

    def test_refused_flow_goes_to_another_data_center(self) -> None:
        """The sidecar knew of the evacuation before the balancer did."""
        view = _view_of_two_data_centers()
        forwarder = build_forwarder(view, self.outbox)
        forwarder.on_client_packet(0, build_packet(build_key(), SYN))
        offer, sidecar = self.outbox.to_daemon.pop()
        self.assertIsInstance(offer, AdmissionRequest)
        handler, replies = build_flow_handler(_evacuated_view())
        handler.on_admission_request(
            0, build_admission_request(build_key()), _BALANCER
        )
        reply = replies.to_daemon[-1][0]
        assert isinstance(reply, FlowReply)
        view.evacuations.merge(build_evacuation(7))
        forwarder.on_flow_reply(0.01, reply, sidecar)
        _offer, second = self.outbox.to_daemon.pop()
        self.assertEqual(second[0], build_record(3).host)


class RestoredDataCenterTest(unittest.TestCase):
    def test_sidecar_counts_as_idle_until_its_next_report(self) -> None:
        """Its last report says that it accepts no new flows."""
        record = build_record()
        address = sidecar_address(record)
        table = SidecarTable(DATA_CENTER)
        leaving = build_load(
            state=BackendState.LEAVING, busy=2, waiting=3, service_ms=20.0
        )
        table.record_report(0, address, leaving)
        table.assume_idle(60, [address])
        option = table.placement_option(60, record, address)
        assert option.load is not None
        self.assertEqual(option.load.state, BackendState.SERVING)
        self.assertEqual(option.load.service_ms, 20.0)
        self.assertTrue(option.is_likely_idle)


class EvacuatedSidecarTest(unittest.TestCase):
    def test_sidecar_refuses_and_sends_the_evacuation(self) -> None:
        handler, outbox = build_flow_handler(_evacuated_view())
        handler.on_admission_request(
            0, build_admission_request(build_key()), _BALANCER
        )
        notice, reply = (message for message, _address in outbox.to_daemon)
        assert isinstance(notice, ChangeNotice)
        assert isinstance(reply, FlowReply)
        _removed, evacuations = split_removals(notice.removed)
        self.assertEqual(evacuations, (build_evacuation(7),))
        self.assertEqual(reply.status, FlowStatus.REFUSED)
        self.assertEqual(reply.load.state, BackendState.LEAVING)
        self.assertEqual(outbox.to_backend, [])

    def test_waiting_flows_return_when_the_evacuation_arrives(self) -> None:
        view = build_view()
        handler, outbox = build_flow_handler(view)
        for number in range(6):
            request = build_admission_request(build_key(number))
            handler.on_admission_request(0, request, _BALANCER)
        self.assertEqual(handler.backend.policy.waiting, 2)
        outbox.clear()
        view.evacuations.merge(build_evacuation(7))
        handler.view_changed(0.1)
        returned = [message for message, _address in outbox.to_daemon]
        self.assertEqual(handler.backend.policy.waiting, 0)
        self.assertEqual(
            [msg.status for msg in returned if isinstance(msg, FlowReply)][:2],
            [FlowStatus.REFUSED, FlowStatus.REFUSED],
        )


class EvacuationGossipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = FleetHarness()
        self.addCleanup(self.harness.close)
        self.first = await self.harness.add(1, is_balancer=True)
        self.second = await self.harness.add(2, is_balancer=True)
        records = tuple(build_record(number) for number in range(1, 4))
        self.first.view.apply(ViewUpdate(0, 5, records, routes=build_routes(2)))
        await self.harness.run_until(
            lambda: self.second.view.is_usable, _BOUND_S
        )

    async def test_evacuation_and_its_end_reach_all_daemons(self) -> None:
        for is_evacuated, revision in ((True, 6), (False, 7)):
            request = build_evacuation(revision, is_evacuated=is_evacuated)
            update = ViewUpdate(revision - 1, revision, evacuations=(request,))
            self.first.view.apply(update)
            self.first.gossip.publish(time.monotonic())
            await self._wait_until_known(request, self.first, self.second)

    async def test_lost_end_of_an_evacuation_is_pulled(self) -> None:
        """The end may be no newer than the revision that the peer holds."""
        for member in self.harness.members.values():
            member.view.evacuations.merge(build_evacuation(4))
        end = build_evacuation(5, is_evacuated=False)
        self.first.view.evacuations.merge(end)
        await self._wait_until_known(end, self.second)

    async def test_daemon_that_starts_receives_it_with_its_view(self) -> None:
        self.first.view.apply(
            ViewUpdate(5, 6, evacuations=(build_evacuation(6),))
        )
        late = await self.harness.add(4, is_balancer=True)
        late.gossip.request_statuses(time.monotonic())
        await self.harness.run_until(lambda: late.view.is_usable, _BOUND_S)
        self.assertTrue(late.view.is_usable)
        self.assertTrue(late.view.evacuations.is_evacuated(DATA_CENTER))

    async def _wait_until_known(
        self, request: EvacuationRecord, *members: FleetMember
    ) -> None:
        is_known = await self.harness.run_until(
            lambda: all(
                member.view.evacuations.find(DATA_CENTER) == request
                for member in members
            ),
            _BOUND_S,
        )
        self.assertTrue(is_known)


def _evacuated_view() -> FleetView:
    view = build_view()
    view.evacuations.merge(build_evacuation(7))
    return view
