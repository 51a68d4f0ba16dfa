"""A balancer with an outdated document doesn't affect another service.

It sends packets to an address that now belongs to another service, where the
sidecar must drop them.
"""

import asyncio
import unittest

from dragonflyshift._internal.models.documents import service_key
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, PARTS, ClusterPlan
from tests.lib.successor import reassign_address

WRONG_SERVICE = 'dragonflyshift.sidecar.dropped.wrong-service'


class StaleBalancerTest(ClusterTest):
    """One balancer holds a document from before an address was reassigned."""

    plan = ClusterPlan(balancers=1)

    async def test_new_balancer_that_reads_an_older_document(self):
        cluster = self.cluster
        current_addresses = [cluster.balancers[0].address]
        conn = await cluster.connect(LISTS)
        self.assertTrue((await conn.request('GET', '/lists/1')).complete)
        reassigned = self.flow_owner(conn)
        await reassign_address(cluster, reassigned, PARTS)
        for service in (LISTS, PARTS):
            await self.wait_for_version(
                service_key(service), 2, current_addresses
            )
        await cluster.set_platform_mode('older')
        stale_balancer = await cluster.add_balancer()
        await self._route_only_to(stale_balancer)
        report = await self.status(stale_balancer.address)
        self.assertEqual(report['version'][service_key(LISTS)], 1)
        response = await conn.request('GET', '/lists/2', timeout=1)
        self.assertFalse(response.complete, response)
        report = await self.status(reassigned.endpoint.address)
        self.assertGreater(report['counters'].get(WRONG_SERVICE, 0), 0)
        async with self.load(
            cluster.target(LISTS, {'list': 1, 'edit': 1}, 3),
            cluster.target(PARTS, {'list': 1, 'ticket': 1}, 3),
        ) as summary:
            await asyncio.sleep(1)
        self.assertGreater(summary.whole, 10)
        self.assert_counts(summary, wrong_body=0, wrong_service=0)
        await self.assert_journals(summary)
        # The balancer has received the newer document from a sidecar.
        await self.wait_for_version(
            service_key(LISTS), 2, [stale_balancer.address]
        )

    async def _route_only_to(self, balancer):
        """Make the fabric send only to one balancer."""
        path = '/control/balancers'
        await self.cluster.fabric_control.put(path, [balancer.host])


if __name__ == '__main__':
    unittest.main()
