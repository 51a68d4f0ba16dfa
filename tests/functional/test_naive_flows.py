"""A flow whose endpoint and balancers all change, in both versions.

The naive version steers by a flow table in each balancer.
"""

import asyncio
import unittest

from attrs import evolve

from bench.naive import NAIVE_FLAGS
from dragonflyshift._internal.models.documents import service_key
from tests.lib import answers
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.stream import Response

BOARD_SECONDS = 4.0
ANSWER_SECONDS = 2.0


class ChangedTogether(ClusterTest):
    """The endpoint leaves the register and all balancers are replaced."""

    async def run_through(self) -> tuple[Response, Response]:
        """Return a board that runs all along, and a later list's answer."""
        cluster = self.cluster
        conn = await cluster.connect(LISTS)
        board = conn.open('GET', f'/boards/{BOARD_SECONDS}')
        await self.wait_for_requests()
        await cluster.register.remove_endpoint(
            LISTS, self.flow_owner(conn).name
        )
        await self.wait_for_version(
            service_key(LISTS), 2, self.daemon_addresses()
        )
        old = tuple(cluster.balancers)
        await asyncio.gather(cluster.add_balancer(), cluster.add_balancer())
        removals = map(cluster.remove_balancer, old)
        self.assertEqual(await asyncio.gather(*removals), [0, 0])
        later = await conn.request('GET', '/lists/1', timeout=ANSWER_SECONDS)
        return await board.read_response(BOARD_SECONDS * 2), later


class ChangedTogetherTest(ChangedTogether):
    """The product: the connection id names the sidecar."""

    async def test_flow_survives(self):
        board, later = await self.run_through()
        self.assertEqual(board.failure, '')
        self.assertEqual(board.body, answers.board_body(BOARD_SECONDS))
        self.assertFalse(later.flow_broken, later)


class NaiveChangedTogetherTest(ChangedTogether):
    """The naive version: fresh balancers hash over the changed list."""

    plan = evolve(
        ONE_SERVICE,
        daemon_flags=(*ONE_SERVICE.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_breaks_the_flow(self):
        _board, later = await self.run_through()
        self.assertTrue(later.flow_broken, later)


if __name__ == '__main__':
    unittest.main()
