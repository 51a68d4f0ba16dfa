"""Flows and requests of an unresponsive client or peer end in time.

Without timeouts they would hold slots for ever. New flows must work
meanwhile.
"""

import asyncio
import unittest

from attrs import evolve

from tests.lib import answers
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.waiting import eventually

IDLE_SECONDS = 2.0
DETECTION_SECONDS = 6.0


class UnreachableClientTest(ClusterTest):
    """A device on the path loses the state of one client's connection."""

    plan = evolve(
        ONE_SERVICE,
        daemon_flags=(f'--idle-timeout={IDLE_SECONDS}',),
    )

    async def test_both_ends_time_out_and_a_new_flow_works(self):
        conn = await self.cluster.connect(LISTS, idle_timeout=IDLE_SECONDS)
        board = conn.open('GET', '/boards/30')
        await self.wait_for_requests()
        owner = self.flow_owner(conn)
        await self.cluster.set_faults(cut_clients=[conn.local_address])
        new_conn = await self.cluster.connect(LISTS)
        response = await new_conn.request('GET', '/lists/1')
        self.assertEqual(response.body, answers.list_body(LISTS, '1'))
        await new_conn.aclose()
        self.assertTrue(
            (await board.read_response(DETECTION_SECONDS)).flow_broken
        )

        async def flow_removed() -> bool:
            status = await self.status(owner.endpoint.address)
            return status['flows'] == 0 and status['running'] == 0

        await eventually(
            flow_removed, DETECTION_SECONDS, 'flow and slot are free'
        )
        journal = await owner.journal()
        self.assertEqual(journal[0].state, 'abandoned')


class ShortIdleTimeoutTest(ClusterTest):
    """A client gives up on a connection sooner than the sidecar does."""

    async def test_response_arrives_after_the_idle_timeout_of_the_client(self):
        await self.set_delay(2 * IDLE_SECONDS)
        conn = await self.cluster.connect(LISTS, idle_timeout=IDLE_SECONDS)
        response = await conn.request('GET', '/lists/1')
        self.assertEqual(response.body, answers.list_body(LISTS, '1'))


class PausedPeerTest(ClusterTest):
    """A sidecar is paused while it runs a request for a peer."""

    plan = evolve(
        ONE_SERVICE,
        services=(ServicePlan(LISTS, 'association', endpoints=2, slots=1),),
    )

    async def test_handed_over_request_ends_in_time(self):
        conn = await self.cluster.connect(LISTS)
        owner = self.flow_owner(conn)
        peer = next(each for each in self.cluster.instances if each != owner)
        await peer.set_behavior(delay=1.0)
        # The long request occupies the only slot of the flow's owner, which
        # therefore hands the next request over to the peer.
        board = conn.open('GET', '/boards/60')
        await self.wait_for_requests()
        handed_over = conn.open('POST', '/lists/1/edits', body=b'1')
        await self.wait_for_requests(2)
        self.assertEqual(len(await peer.journal()), 1)
        peer.sidecar.pause()
        started = asyncio.get_running_loop().time()
        response = await handed_over.read_response(DETECTION_SECONDS * 2)
        elapsed = asyncio.get_running_loop().time() - started
        self.assertLess(elapsed, DETECTION_SECONDS, response)
        self.assertEqual(response.outcome, 'unknown', response)
        board.cancel()


if __name__ == '__main__':
    unittest.main()
