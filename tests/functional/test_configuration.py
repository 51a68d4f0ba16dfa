"""Accepted configuration is in force in seconds and never reverts."""

import asyncio
import unittest

from attrs import evolve

from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.declarations import ANYWHERE_RULES
from tests.lib.plan import Programs

KEY = service_key(LISTS)
SETTLE_SECONDS = 1.5


class ConfigurationTest(ClusterTest):
    """One service; the platform fails in several ways."""

    async def test_change_is_in_force_and_never_reverts(self):
        await self._change()
        await self.wait_for_version(KEY, 2, self.daemon_addresses())
        await self.cluster.register.publish_raw(KEY, b'{"version": 9}')
        await self.cluster.register.publish_raw(INDEX_KEY, b'not JSON')
        await self._assert_kept()
        await self.cluster.set_platform_mode('older')
        await self._assert_kept()
        await self.cluster.set_platform_mode('up')
        await self._change()
        await self.wait_for_version(KEY, 3, self.daemon_addresses())

    async def test_traffic_goes_on_while_the_platform_is_down(self):
        await self._change()
        await self.wait_for_version(KEY, 2, self.daemon_addresses())
        await self.cluster.set_platform_mode('down')
        async with self.load() as summary:
            await self.wait_for_requests(10)
            fresh = await self._start_fresh_balancer()
            await self.wait_for_version(KEY, 2, [fresh.address])
            await self.cluster.remove_balancer(self.cluster.balancers[0])
            await asyncio.sleep(0.5)
        await self.assert_guarantees(summary)
        await self._change()
        await self.cluster.set_platform_mode('up')
        await self.wait_for_version(KEY, 3, self.daemon_addresses())

    async def _change(self):
        document = self.cluster.register.documents[LISTS]
        limit = document.version + 10
        rules = evolve(ANYWHERE_RULES, queue_limit=limit)
        await self.cluster.register.change(LISTS, rules=rules)

    async def _assert_kept(self):
        await asyncio.sleep(SETTLE_SECONDS)
        for daemon in self.daemon_addresses():
            report = await self.status(daemon)
            self.assertEqual(report['version'][KEY], 2, report)

    async def _start_fresh_balancer(self):
        """Start a balancer that can only learn from its peers."""
        cluster = self.cluster
        seeds = ','.join(map(str, self.daemon_addresses()))
        flags = (*self.plan.daemon_flags, f'--seeds={seeds}')
        plan = evolve(self.plan, daemon_flags=flags)
        cluster.programs = Programs(plan, cluster.network, cluster.certificates)
        return await cluster.add_balancer()


if __name__ == '__main__':
    unittest.main()
