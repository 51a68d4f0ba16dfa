import unittest

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyshift._internal.carried.fleet.exchange import (
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.revisions import (
    MAX_UNLISTED_REMOVALS,
    join_revision,
)
from dragonflyshift._internal.carried.fleet.view import (
    ROUTE_HISTORY_S,
    FleetView,
    ViewUpdate,
    has_records_before_epoch,
)
from dragonflyshift._internal.carried.routes import Warmup
from dragonflyshift._internal.exceptions import ConfigurationError
from tests.lib.carried import (
    SERVICE,
    build_record,
    build_routes,
    build_view,
)


def _complete_state(revision: int, *numbers: int) -> ViewUpdate:
    records = tuple(build_record(number) for number in numbers)
    return ViewUpdate(0, revision, records)


class ViewTest(unittest.TestCase):
    def test_older_route_table_is_ignored(self) -> None:
        view = build_view(version=5)
        older = ViewUpdate(3, 4, routes=build_routes(4))
        self.assertFalse(view.apply(older))
        self.assertEqual(view.routes.version, 5)

    def test_warmup_rates_of_the_same_version_are_added(self) -> None:
        """A reader of the build before sends the version without them."""
        view = build_view(version=5)
        complete = build_routes(5)
        complete.warmups[SERVICE] = Warmup(SERVICE, 3, 2)
        self.assertTrue(view.apply(ViewUpdate(3, 4, routes=complete)))
        self.assertFalse(view.apply(ViewUpdate(3, 4, routes=build_routes(5))))
        self.assertEqual(view.routes.warmups, complete.warmups)

    def test_older_record_of_an_endpoint_is_ignored(self) -> None:
        view = build_view()
        view.merge(build_record(1, revision=9, is_leaving=True))
        self.assertFalse(view.merge(build_record(1, revision=8)))
        self.assertTrue(view.records['instance-1'].is_leaving)

    def test_removed_endpoint_does_not_return_with_an_old_record(self) -> None:
        view = build_view()
        view.remove('instance-1', 9)
        self.assertFalse(view.merge(build_record(1, revision=8)))
        self.assertTrue(view.merge(build_record(1, revision=10)))

    def test_removal_of_an_unlisted_endpoint_reaches_peers(self) -> None:
        view = build_view()
        view.remove('instance-9', 9)
        self.assertEqual(view.since(8).removed, (('instance-9', 9),))
        self.assertFalse(view.merge(build_record(9, revision=8)))
        self.assertTrue(view.merge(build_record(9, revision=10)))
        self.assertEqual(view.since(8).removed, ())

    def test_removals_of_foreign_entries_are_bounded(self) -> None:
        """They also displace no removal of an endpoint."""
        view = build_view()
        view.remove('instance-1', 9)
        for number in range(2 * MAX_UNLISTED_REMOVALS):
            view.remove(f'foreign-{number}', 10 + number)
        self.assertEqual(len(view.since(1).removed), MAX_UNLISTED_REMOVALS + 1)
        self.assertFalse(view.merge(build_record(1, revision=8)))

    def test_record_without_a_start_time_is_ignored(self) -> None:
        """The build before takes foreign entries without one for endpoints."""
        view = build_view()
        self.assertFalse(view.merge(build_record(9, started_ms=0)))
        self.assertNotIn('instance-9', view.records)

    def test_entry_that_is_no_endpoint_concerns_only_listed_ones(self) -> None:
        """Another writer's entries made each daemon's records grow."""
        view = build_view()
        rows = (('instance-1', 9), ('foreign', 9))
        view.apply(ViewUpdate(3, 9, invalid=rows))
        self.assertNotIn('instance-1', view.records)
        self.assertEqual(view.since(3).removed, (('instance-1', 9),))

    def test_complete_state_drops_unlisted_endpoints(self) -> None:
        view = build_view(endpoints=3)
        view.apply(_complete_state(8, 1, 3))
        self.assertEqual(set(view.records), {'instance-1', 'instance-3'})
        self.assertEqual(view.revision, 8)

    def test_older_complete_state_keeps_newer_endpoints(self) -> None:
        view = build_view(endpoints=3)
        view.merge(build_record(7, revision=20))
        view.apply(_complete_state(8, 1, 2, 3))
        self.assertIn('instance-7', view.records)

    def test_update_after_a_gap_keeps_the_revision(self) -> None:
        view = build_view(endpoints=3)
        view.apply(ViewUpdate(10, 12, (build_record(4, revision=12),)))
        self.assertIn('instance-4', view.records)
        self.assertEqual(view.revision, 3)

    def test_tentative_removal_takes_effect_when_confirmed(self) -> None:
        view = build_view(endpoints=2)
        view.apply(
            ViewUpdate(2, 5, removed=(('instance-1', 5),)), is_tentative=True
        )
        self.assertEqual(len(view.endpoints(SERVICE)), 2)
        view.merge(build_record(1, revision=6))
        self.assertEqual(view.confirm_removals(), ())
        view.apply(
            ViewUpdate(5, 7, removed=(('instance-2', 7),)), is_tentative=True
        )
        self.assertEqual(view.confirm_removals(), ('instance-2',))
        self.assertEqual(len(view.endpoints(SERVICE)), 1)

    def test_changes_update_a_peer_at_any_revision(self) -> None:
        view = build_view(endpoints=3, version=4)
        view.remove('instance-2', 9)
        view.revision = 9
        for base in (0, 3):
            peer = build_view(endpoints=3, version=1)
            update = decode_update(encode_update(view, base, 1))
            peer.apply(update)
            with self.subTest(base=base):
                self.assertEqual(peer.records, view.records)
                self.assertEqual(peer.checksum, view.checksum)
                self.assertEqual(peer.routes.version, 4)
                self.assertEqual(peer.revision, 9)

    def test_newest_start_at_an_address_is_found(self) -> None:
        view = FleetView()
        view.merge(build_record(1, name='old', started_ms=1))
        view.merge(build_record(1, name='new', started_ms=2))
        view.merge(build_record(1, name='other', started_ms=3, service='other'))
        address = build_record(1).address
        found = view.find_by_address(address, SERVICE)
        assert found is not None
        self.assertEqual(found.name, 'new')
        self.assertIsNone(view.find_by_address(address, 'third'))

    def test_entries_of_services_that_are_not_named_are_no_servers(self):
        """Another writer's entry hid the server at its address.

        Its service becomes one of servers once the configuration names it.
        """
        view = build_view(endpoints=2)
        view.merge(build_record(9, service='watch', host='10.1.0.1'))
        view.merge(build_record(8, service='export'))
        for version, services, hosts in (
            (2, (), {'10.1.0.1', '10.1.0.2', '10.1.0.8'}),
            (3, (SERVICE,), {'10.1.0.1', '10.1.0.2'}),
            (4, (SERVICE, 'export'), {'10.1.0.1', '10.1.0.2', '10.1.0.8'}),
        ):
            routes = evolve(build_routes(version), services=frozenset(services))
            view.apply(ViewUpdate(2, 3, routes=routes))
            with self.subTest(services=services):
                self.assertEqual(set(view.newest_by_host()), hosts)
        self.assertEqual(view.newest_by_host()['10.1.0.1'].service, SERVICE)
        self.assertIn('instance-9', view.records)

    def test_service_that_is_dropped_keeps_its_servers_for_a_while(self):
        """They may hold flows whose routes have moved before."""
        view = build_view(endpoints=1)
        times = [0]
        view.clock = lambda: times[-1]
        view.merge(build_record(8, service='export'))
        for version, names in ((2, (SERVICE, 'export')), (3, (SERVICE,))):
            routes = evolve(build_routes(version), services=frozenset(names))
            view.apply(ViewUpdate(8, 8, routes=routes))
        self.assertEqual(len(view.listed_servers()), 2)
        times.append(int(ROUTE_HISTORY_S))
        view.merge(build_record(7))
        self.assertNotIn('10.1.0.8', view.newest_by_host())

    def test_named_services_reach_peers(self) -> None:
        view = build_view()
        named = frozenset((SERVICE, 'export'))
        view.routes = evolve(build_routes(4), services=named)
        peer = FleetView()
        peer.apply(decode_update(encode_update(view, 0, 0)))
        self.assertEqual(peer.routes.services, named)
        self.assertEqual(len(peer.routes.routes), 1)

    def test_named_services_of_the_same_version_are_added(self) -> None:
        """A reader of the build before sends the version without them."""
        view = build_view(version=5)
        complete = evolve(build_routes(5), services=frozenset((SERVICE,)))
        self.assertTrue(view.apply(ViewUpdate(3, 4, routes=complete)))
        self.assertFalse(view.apply(ViewUpdate(3, 4, routes=build_routes(5))))
        self.assertEqual(view.routes.services, complete.services)

    def test_restored_store_replaces_what_it_listed_before(self) -> None:
        """It gives out revisions that are lower than those of the view."""
        view = build_view(endpoints=3)
        view.remove('instance-2', 90)
        view.revision = 90
        restored = [
            build_record(number, revision=join_revision(1, number))
            for number in (1, 2)
        ]
        update = ViewUpdate(0, join_revision(1, 8), tuple(restored))
        self.assertTrue(has_records_before_epoch(view, 1))
        view.apply(update, is_tentative=True)
        self.assertEqual(len(view.records), 3)
        self.assertIn('instance-2', view.records)
        self.assertEqual(view.revision, join_revision(1, 8))
        self.assertFalse(has_records_before_epoch(view, 1))
        self.assertEqual(view.confirm_removals(), ('instance-3',))

    def test_server_that_left_is_not_listed_as_serving_by_a_copy(self) -> None:
        """A copy may be older than the report that a server is leaving."""
        view = build_view()
        view.merge(build_record(1, revision=9, is_leaving=True))
        view.merge(build_record(1, revision=join_revision(1, 3)))
        self.assertTrue(view.records['instance-1'].is_leaving)
        restarted = build_record(
            1, revision=join_revision(1, 4), started_ms=2000
        )
        view.merge(restarted)
        self.assertFalse(view.records['instance-1'].is_leaving)

    def test_configuration_of_a_copy_does_not_replace_a_newer_one(self) -> None:
        view = build_view(version=5)
        copy = ViewUpdate(0, join_revision(1, 2), routes=build_routes(4))
        view.apply(copy)
        self.assertEqual(view.routes.version, 5)

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=60))
    def test_malformed_update_is_refused(self, raw: bytes) -> None:
        try:
            decode_update(raw)
        except ConfigurationError as exc:
            self.assertIn('malformed', str(exc))
