import time
import unittest

from dragonflyshift._internal.carried.fleet.member import FleetMember
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from tests.lib.carried import build_record, build_routes
from tests.lib.carried_fleet import FleetStage


def _publish(member: FleetMember, update: ViewUpdate) -> None:
    """Have a member learn something as if from the store."""
    member.view.apply(update)
    now = time.monotonic()
    member.gossip.confirm(now)
    member.gossip.publish(now)


def _first_view() -> ViewUpdate:
    records = tuple(build_record(number) for number in range(1, 4))
    return ViewUpdate(0, 5, records, routes=build_routes(2))


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stage = FleetStage()
        self.addCleanup(self.stage.close)
        self.first = await self.stage.add(1, is_balancer=True)
        self.second = await self.stage.add(2, is_balancer=True)
        self.sidecar = await self.stage.add(3, is_balancer=False)

    async def test_view_reaches_daemons_that_read_no_store(self) -> None:
        _publish(self.first, _first_view())
        await self.stage.run(1.2)
        for member in (self.second, self.sidecar):
            self.assertEqual(member.view.records, self.first.view.records)
            self.assertEqual(member.view.routes.version, 2)
            self.assertLess(member.gossip.age_s(time.monotonic()), 2)

    async def test_news_reaches_a_balancer_that_the_store_turns_away(self):
        """It travels upwards, from whoever the store serves."""
        _publish(self.first, _first_view())
        await self.stage.run(1.2)
        leaving = build_record(1, revision=8, is_leaving=True)
        _publish(self.second, ViewUpdate(5, 8, (leaving,)))
        await self.stage.run(0.8)
        self.assertTrue(self.first.view.records['instance-1'].is_leaving)

    async def test_lost_notice_is_made_up_for_by_a_status(self) -> None:
        _publish(self.first, _first_view())
        await self.stage.run(1.2)
        self.stage.lose_notices = True
        gone = ViewUpdate(5, 9, removed=(('instance-2', 9),))
        _publish(self.first, gone)
        await self.stage.run(1.6)
        for member in (self.second, self.sidecar):
            self.assertNotIn('instance-2', member.view.records)

    async def test_view_is_not_fresh_behind_a_cut(self) -> None:
        _publish(self.first, _first_view())
        await self.stage.run(1.2)
        cut_off = self.stage.pair(3)
        for number in (1, 2):
            pair = frozenset((cut_off, self.stage.pair(number)))
            self.stage.cut.add(pair)
        self.first.gossip.confirm(time.monotonic())
        await self.stage.run(1.2)
        age_s = self.sidecar.gossip.age_s(time.monotonic())
        self.assertGreater(age_s, 1)
        self.stage.cut.clear()
        self.first.gossip.confirm(time.monotonic())
        await self.stage.run(1.2)
        fresh_s = self.sidecar.gossip.age_s(time.monotonic())
        self.assertLess(fresh_s, 1.5)

    async def test_pause_makes_a_view_doubtful(self) -> None:
        _publish(self.first, _first_view())
        self.first.paused(time.monotonic(), 3)
        age_s = self.first.gossip.age_s(time.monotonic())
        self.assertEqual(age_s, float('inf'))
        self.assertEqual(self.first.view.routes.version, 2)
