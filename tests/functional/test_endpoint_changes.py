"""Running flows survive the planned stop or removal of their endpoint.

A balancer that steered by the current endpoint list alone would send packets
of these flows to another sidecar.
"""

import asyncio
import unittest

from dragonflyshift._internal.models.documents import service_key
from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS

BOARD_SECONDS = 5.0


class EndpointChangesTest(ClusterTest):
    """An endpoint is stopped or removed while its flows run."""

    async def test_sidecar_restarts_while_long_requests_run(self):
        async with self.load(board_seconds=2.0) as summary:
            await self.wait_for_requests(10)
            stopped_instance = self.cluster.instances[0]
            self.assertEqual(await stopped_instance.sidecar.stop(), 0)
            await stopped_instance.sidecar.start()
            await asyncio.sleep(0.5)
        await self.assert_guarantees(summary)

    async def test_sidecar_and_balancer_stop_together(self):
        async with self.load() as summary:
            await self.wait_for_requests(10)
            await self.cluster.add_balancer()
            stopped_instance = self.cluster.instances[0]
            exit_statuses = await asyncio.gather(
                stopped_instance.sidecar.stop(),
                self.cluster.remove_balancer(self.cluster.balancers[0]),
            )
            self.assertEqual(exit_statuses, [0, 0])
        await self.assert_guarantees(summary)

    async def _replace_all_balancers(self):
        cluster = self.cluster
        old_balancers = tuple(cluster.balancers)
        await asyncio.gather(*(cluster.add_balancer() for _ in old_balancers))
        removals = map(cluster.remove_balancer, old_balancers)
        self.assertEqual(
            await asyncio.gather(*removals), [0 for _ in old_balancers]
        )

    async def test_endpoint_removed_and_all_balancers_replaced(
        self,
    ):
        conn = await self.cluster.connect(LISTS)
        owner = self.flow_owner(conn)
        stream = conn.open('GET', f'/boards/{BOARD_SECONDS}')
        await self.wait_for_requests()
        await self.cluster.register.remove_endpoint(LISTS, owner.name)
        other = next(each for each in self.cluster.instances if each != owner)
        await self.wait_for_version(
            service_key(LISTS), 2, self.daemon_addresses()
        )
        new_conn = await self.cluster.connect(LISTS)
        self.assertIs(self.flow_owner(new_conn), other)
        await self._replace_all_balancers()
        response = await stream.read_response(BOARD_SECONDS * 2)
        self.assertEqual(response.failure, '')
        self.assertEqual(response.body, answers.board_body(BOARD_SECONDS))


if __name__ == '__main__':
    unittest.main()
