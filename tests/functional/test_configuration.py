"""An accepted configuration applies within seconds and never reverts.

The platform may serve invalid or older documents, or be down; daemons must
keep the newest valid version that they have read.
"""

import asyncio
import unittest

from attrs import evolve

from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.declarations import ANYWHERE_RULES
from tests.lib.plan import Programs

DOCUMENT_KEY = service_key(LISTS)
SETTLE_SECONDS = 1.5


class ConfigurationTest(ClusterTest):
    """One service, with a platform that fails in several ways."""

    async def test_applied_version_is_not_replaced_by_invalid_or_older_one(
        self,
    ):
        await self._publish_change()
        await self.wait_for_version(DOCUMENT_KEY, 2, self.daemon_addresses())
        await self.cluster.register.publish_raw(DOCUMENT_KEY, b'{"version": 9}')
        await self.cluster.register.publish_raw(INDEX_KEY, b'not JSON')
        await self._assert_version_unchanged()
        await self.cluster.set_platform_mode('older')
        await self._assert_version_unchanged()
        await self.cluster.set_platform_mode('up')
        await self._publish_change()
        await self.wait_for_version(DOCUMENT_KEY, 3, self.daemon_addresses())

    async def test_traffic_continues_while_the_platform_is_down(self):
        await self._publish_change()
        await self.wait_for_version(DOCUMENT_KEY, 2, self.daemon_addresses())
        await self.cluster.set_platform_mode('down')
        async with self.load() as summary:
            await self.wait_for_requests(10)
            new_balancer = await self._start_balancer_with_peers()
            await self.wait_for_version(DOCUMENT_KEY, 2, [new_balancer.address])
            await self.cluster.remove_balancer(self.cluster.balancers[0])
            await asyncio.sleep(0.5)
        await self.assert_guarantees(summary)
        await self._publish_change()
        await self.cluster.set_platform_mode('up')
        await self.wait_for_version(DOCUMENT_KEY, 3, self.daemon_addresses())

    async def _publish_change(self):
        document = self.cluster.register.documents[LISTS]
        new_queue_limit = document.version + 10
        rules = evolve(ANYWHERE_RULES, queue_limit=new_queue_limit)
        await self.cluster.register.change(LISTS, rules=rules)

    async def _assert_version_unchanged(self):
        await asyncio.sleep(SETTLE_SECONDS)
        for daemon in self.daemon_addresses():
            report = await self.status(daemon)
            self.assertEqual(report['version'][DOCUMENT_KEY], 2, report)

    async def _start_balancer_with_peers(self):
        """Start a balancer that gets its configuration only from its peers."""
        cluster = self.cluster
        seeds = ','.join(map(str, self.daemon_addresses()))
        flags = (*self.plan.daemon_flags, f'--seeds={seeds}')
        plan = evolve(self.plan, daemon_flags=flags)
        cluster.programs = Programs(plan, cluster.network, cluster.certificates)
        return await cluster.add_balancer()


if __name__ == '__main__':
    unittest.main()
