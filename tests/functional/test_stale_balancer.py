"""A balancer that holds an old register harms no other service."""

import asyncio
import unittest

from dragonflyshift._internal.models.documents import service_key
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, PARTS, ClusterPlan
from tests.lib.successor import reassign_address

WRONG_SERVICE = 'dragonflyshift.sidecar.dropped.wrong-service'


class StaleBalancerTest(ClusterTest):
    """An address passes to another service, and a balancer doesn't know."""

    plan = ClusterPlan(balancers=1)

    async def test_fresh_balancer_that_reads_an_older_register(self):
        cluster = self.cluster
        informed = [cluster.balancers[0].address]
        conn = await cluster.connect(LISTS)
        self.assertTrue((await conn.request('GET', '/lists/1')).complete)
        passed = self.flow_owner(conn)
        await reassign_address(cluster, passed, PARTS)
        for service in (LISTS, PARTS):
            await self.wait_for_version(service_key(service), 2, informed)
        await cluster.set_platform_mode('older')
        stale = await cluster.add_balancer()
        await self._use(stale)
        report = await self.status(stale.address)
        self.assertEqual(report['version'][service_key(LISTS)], 1)
        answer = await conn.request('GET', '/lists/2', timeout=1)
        self.assertFalse(answer.complete, answer)
        report = await self.status(passed.endpoint.address)
        self.assertGreater(report['counters'].get(WRONG_SERVICE, 0), 0)
        async with self.load(
            cluster.target(LISTS, {'list': 1, 'edit': 1}, 3),
            cluster.target(PARTS, {'list': 1, 'ticket': 1}, 3),
        ) as summary:
            await asyncio.sleep(1)
        self.assertGreater(summary.whole, 10)
        self.assert_counts(summary, wrong_body=0, wrong_service=0)
        await self.assert_journals(summary)
        # It has learnt the newer document from a sidecar.
        await self.wait_for_version(service_key(LISTS), 2, [stale.address])

    async def _use(self, balancer):
        """Let the fabric send to one balancer alone."""
        path = '/control/balancers'
        await self.cluster.fabric_control.put(path, [balancer.host])


if __name__ == '__main__':
    unittest.main()
