"""A flow that is running survives the planned end of its endpoint."""

import asyncio
import unittest

from dragonflyshift._internal.models.documents import service_key
from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS

BOARD_SECONDS = 5.0


class EndpointsTest(ClusterTest):
    """An endpoint goes away as planned while its flows run."""

    async def test_sidecar_stops_while_boards_exports_and_uploads_run(self):
        async with self.load(board_seconds=2.0) as summary:
            await self.wait_for_requests(10)
            leaving = self.cluster.instances[0]
            self.assertEqual(await leaving.sidecar.stop(), 0)
            await leaving.sidecar.start()
            await asyncio.sleep(0.5)
        await self.assert_guarantees(summary)

    async def test_endpoint_and_balancer_change_in_the_same_second(self):
        async with self.load() as summary:
            await self.wait_for_requests(10)
            await self.cluster.add_balancer()
            leaving = self.cluster.instances[0]
            statuses = await asyncio.gather(
                leaving.sidecar.stop(),
                self.cluster.remove_balancer(self.cluster.balancers[0]),
            )
            self.assertEqual(statuses, [0, 0])
        await self.assert_guarantees(summary)

    async def _replace_all_balancers(self):
        cluster = self.cluster
        old = tuple(cluster.balancers)
        await asyncio.gather(*(cluster.add_balancer() for _ in old))
        removals = map(cluster.remove_balancer, old)
        self.assertEqual(await asyncio.gather(*removals), [0 for _ in old])

    async def test_endpoint_leaves_the_register_and_balancers_are_replaced(
        self,
    ):
        conn = await self.cluster.connect(LISTS)
        home = self.flow_owner(conn)
        board = conn.open('GET', f'/boards/{BOARD_SECONDS}')
        await self.wait_for_requests()
        await self.cluster.register.remove_endpoint(LISTS, home.name)
        other = next(each for each in self.cluster.instances if each != home)
        await self.wait_for_version(
            service_key(LISTS), 2, self.daemon_addresses()
        )
        fresh = await self.cluster.connect(LISTS)
        self.assertIs(self.flow_owner(fresh), other)
        await self._replace_all_balancers()
        answer = await board.read_response(BOARD_SECONDS * 2)
        self.assertEqual(answer.failure, '')
        self.assertEqual(answer.body, answers.board_body(BOARD_SECONDS))


if __name__ == '__main__':
    unittest.main()
