import time
import unittest

from dragonflyshift._internal.carried.fleet.member import FleetMember
from dragonflyshift._internal.carried.fleet.revisions import join_revision
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from tests.lib.carried import build_record, build_routes
from tests.lib.fleet_harness import FleetHarness


def _publish(member: FleetMember, update: ViewUpdate) -> None:
    """Apply an update to a member as if it came from the store."""
    member.view.apply(update)
    now = time.monotonic()
    member.gossip.record_confirmation(now)
    member.gossip.publish(now)


def _first_view() -> ViewUpdate:
    records = tuple(build_record(number) for number in range(1, 4))
    return ViewUpdate(0, 5, records, routes=build_routes(2))


def _restored_view(epoch: int) -> ViewUpdate:
    """Return the state of a copy that has two of the three endpoints."""
    records = tuple(
        build_record(number, revision=join_revision(epoch, number))
        for number in (1, 2)
    )
    return ViewUpdate(
        0, join_revision(epoch, 3), records, routes=build_routes(1)
    )


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = FleetHarness()
        self.addCleanup(self.harness.close)
        self.first = await self.harness.add(1, is_balancer=True)
        self.second = await self.harness.add(2, is_balancer=True)
        self.sidecar = await self.harness.add(3, is_balancer=False)

    async def test_view_reaches_daemons_that_read_no_store(self) -> None:
        _publish(self.first, _first_view())
        await self.harness.run(1.2)
        for member in (self.second, self.sidecar):
            self.assertEqual(member.view.records, self.first.view.records)
            self.assertEqual(member.view.routes.version, 2)
            self.assertLess(member.gossip.age_s(time.monotonic()), 2)

    async def test_changes_reach_a_balancer_that_the_store_refuses(self):
        """The balancer that the store serves sends them by gossip."""
        _publish(self.first, _first_view())
        await self.harness.run(1.2)
        leaving = build_record(1, revision=8, is_leaving=True)
        _publish(self.second, ViewUpdate(5, 8, (leaving,)))
        await self.harness.run(0.8)
        self.assertTrue(self.first.view.records['instance-1'].is_leaving)

    async def test_status_replaces_a_lost_notice(self) -> None:
        _publish(self.first, _first_view())
        await self.harness.run(1.2)
        self.harness.drop_notices = True
        removal = ViewUpdate(5, 9, removed=(('instance-2', 9),))
        _publish(self.first, removal)
        await self.harness.run(1.6)
        for member in (self.second, self.sidecar):
            self.assertNotIn('instance-2', member.view.records)

    async def test_view_ages_during_a_partition(self) -> None:
        _publish(self.first, _first_view())
        await self.harness.run(1.2)
        partitioned = self.harness.address(3)
        for number in (1, 2):
            pair = frozenset((partitioned, self.harness.address(number)))
            self.harness.partitioned.add(pair)
        self.first.gossip.record_confirmation(time.monotonic())
        await self.harness.run(1.2)
        age_s = self.sidecar.gossip.age_s(time.monotonic())
        self.assertGreater(age_s, 1)
        self.harness.partitioned.clear()
        self.first.gossip.record_confirmation(time.monotonic())
        await self.harness.run(1.2)
        new_age_s = self.sidecar.gossip.age_s(time.monotonic())
        self.assertLess(new_age_s, 1.5)

    async def test_restore_of_the_store_reaches_all_daemons(self) -> None:
        """Its revisions are lower than those that the peers hold."""
        _publish(self.first, _first_view())
        await self.harness.run(1.2)
        _publish(self.first, _restored_view(1))
        await self.harness.run(1.2)
        for member in (self.second, self.sidecar):
            self.assertEqual(member.view.records, self.first.view.records)
            self.assertEqual(
                set(member.view.records), {'instance-1', 'instance-2'}
            )
            self.assertEqual(member.view.routes.version, 2)

    async def test_daemon_that_missed_two_restores_catches_up(self) -> None:
        _publish(self.first, _first_view())
        await self.harness.run(1.2)
        cut_off = self.harness.address(3)
        for number in (1, 2):
            pair = frozenset((cut_off, self.harness.address(number)))
            self.harness.partitioned.add(pair)
        _publish(self.first, _restored_view(1))
        _publish(self.first, _restored_view(2))
        await self.harness.run(0.6)
        self.assertEqual(len(self.sidecar.view.records), 3)
        self.harness.partitioned.clear()
        await self.harness.run(1.6)
        self.assertEqual(self.sidecar.view.records, self.first.view.records)

    async def test_pause_discards_the_confirmation_of_a_view(self) -> None:
        _publish(self.first, _first_view())
        self.first.on_pause(time.monotonic(), 3)
        age_s = self.first.gossip.age_s(time.monotonic())
        self.assertEqual(age_s, float('inf'))
        self.assertEqual(self.first.view.routes.version, 2)
