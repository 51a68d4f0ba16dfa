"""Tests that endpoints whose entries lapsed in an outage are kept for a while.

Entries that expire while the store is down are back within two seconds of its
return, if the endpoint is alive. A daemon that starts in between reads a
listing without them.
"""

import unittest

from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from tests.lib.carried import build_record, build_routes
from tests.lib.fleet_harness import FleetHarness

# Endpoints write their entries again within this time of the store's return.
_RENEWAL_S = 2.0


class LapsedEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = FleetHarness()
        self.addCleanup(self.harness.close)

    async def test_daemon_that_starts_at_the_return_removes_no_endpoint(self):
        """Others would reset the flows of an endpoint that is alive."""
        kept = await self.harness.add(1, is_balancer=True)
        records = tuple(build_record(number) for number in (1, 2))
        kept.view.apply(ViewUpdate(0, 5, records, routes=build_routes(2)))
        # The removal of the first entry, read right after the outage.
        removal = ViewUpdate(5, 6, removed=(('instance-1', 6),))
        kept.view.apply(removal, is_tentative=True)
        started = await self.harness.add(2, is_balancer=True)
        listing = ViewUpdate(0, 6, records[1:], routes=build_routes(2))
        started.view.apply(listing)
        await self.harness.run(_RENEWAL_S)
        for member in (kept, started):
            self.assertIn('instance-1', member.view.records)

    async def test_endpoint_that_does_not_return_is_removed(self) -> None:
        """Further full pulls, which lack it as well, don't prolong the wait."""
        first = await self.harness.add(1, is_balancer=True)
        records = tuple(build_record(number) for number in (1, 2))
        first.view.apply(ViewUpdate(0, 6, records, routes=build_routes(2)))
        second = await self.harness.add(2, is_balancer=True)
        second.view.apply(ViewUpdate(0, 6, records, routes=build_routes(2)))
        second.view.remove('instance-1', 6)
        self.assertTrue(
            await self.harness.run_until(
                lambda: 'instance-1' not in first.view.records, 5
            )
        )
