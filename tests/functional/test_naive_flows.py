"""Steering of a flow whose endpoint is removed and balancers are replaced.

The flow must survive in the product. The naive version breaks it, since it
steers by a flow table in each balancer and the new ones have no entry for it.
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
RESPONSE_SECONDS = 2.0


class EndpointAndBalancersChange(ClusterTest):
    """The endpoint is removed and all balancers are replaced."""

    async def change_all(self) -> tuple[Response, Response]:
        """Return the responses to a long board request and a later list."""
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
        old_balancers = tuple(cluster.balancers)
        await asyncio.gather(cluster.add_balancer(), cluster.add_balancer())
        removals = map(cluster.remove_balancer, old_balancers)
        self.assertEqual(await asyncio.gather(*removals), [0, 0])
        later_response = await conn.request(
            'GET', '/lists/1', timeout=RESPONSE_SECONDS
        )
        return await board.read_response(BOARD_SECONDS * 2), later_response


class EndpointAndBalancersChangeTest(EndpointAndBalancersChange):
    """The product, where the connection ID identifies the sidecar."""

    async def test_flow_survives(self):
        board, later_response = await self.change_all()
        self.assertEqual(board.failure, '')
        self.assertEqual(board.body, answers.board_body(BOARD_SECONDS))
        self.assertFalse(later_response.flow_broken, later_response)


class NaiveEndpointAndBalancersChangeTest(EndpointAndBalancersChange):
    """The naive version, where new balancers hash over the new list."""

    plan = evolve(
        ONE_SERVICE,
        daemon_flags=(*ONE_SERVICE.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_breaks_the_flow(self):
        _board, later_response = await self.change_all()
        self.assertTrue(later_response.flow_broken, later_response)


if __name__ == '__main__':
    unittest.main()
