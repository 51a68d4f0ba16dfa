"""Fleet keys are rotated without breaking a flow.

During the rotation some daemons still seal with the old key, so all of them
must accept both.
"""

import asyncio
import unittest

from attrs import evolve

from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.plan import Programs

OLD_KEY = f'1:{"5a" * 32}'
NEW_KEY = f'2:{"a5" * 32}'


class KeyRotationTest(ClusterTest):
    """Balancers are replaced and sidecars restarted with the new key first."""

    plan = evolve(ONE_SERVICE, fleet_keys=f'{OLD_KEY},{NEW_KEY}')

    async def test_new_key_becomes_primary_under_load(self):
        cluster = self.cluster
        plan = evolve(self.plan, fleet_keys=f'{NEW_KEY},{OLD_KEY}')
        async with self.load(board_seconds=1.0) as summary:
            await self.wait_for_requests(10)
            cluster.programs = Programs(
                plan, cluster.network, cluster.certificates
            )
            old_balancers = tuple(cluster.balancers)
            await asyncio.gather(cluster.add_balancer(), cluster.add_balancer())
            removals = map(cluster.remove_balancer, old_balancers)
            self.assertEqual(await asyncio.gather(*removals), [0, 0])
            for instance in cluster.instances:
                self.assertEqual(await instance.sidecar.stop(), 0)
                instance.sidecar = cluster.programs.sidecar(
                    LISTS,
                    instance.endpoint,
                )
                await instance.sidecar.start()
        await self.assert_guarantees(summary)
        conn = await cluster.connect(LISTS)
        self.assertEqual(conn.peer_connection_id[0], 2)


if __name__ == '__main__':
    unittest.main()
