"""What goes silent is found and ended, while new flows work."""

import asyncio
import unittest

from attrs import evolve

from tests.lib import answers
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.waiting import eventually

IDLE_SECONDS = 2.0
FOUND_SECONDS = 6.0


class SilentClientTest(ClusterTest):
    """Something between client and system lost track of a connection."""

    plan = evolve(
        ONE_SERVICE,
        daemon_flags=(f'--idle-timeout={IDLE_SECONDS}',),
    )

    async def test_both_ends_find_out_and_a_new_flow_works(self):
        conn = await self.cluster.connect(LISTS, idle_timeout=IDLE_SECONDS)
        board = conn.open('GET', '/boards/30')
        await self.wait_for_requests()
        home = self.flow_owner(conn)
        await self.cluster.set_faults(cut_clients=[conn.local_address])
        fresh = await self.cluster.connect(LISTS)
        answer = await fresh.request('GET', '/lists/1')
        self.assertEqual(answer.body, answers.list_body(LISTS, '1'))
        await fresh.aclose()
        self.assertTrue((await board.read_response(FOUND_SECONDS)).flow_broken)

        async def forgotten() -> bool:
            status = await self.status(home.endpoint.address)
            return status['flows'] == 0 and status['running'] == 0

        await eventually(forgotten, FOUND_SECONDS, 'flow and slot are free')
        journal = await home.journal()
        self.assertEqual(journal[0].state, 'abandoned')


class SilentPeerTest(ClusterTest):
    """A sidecar freezes while it runs a request for another one."""

    plan = evolve(
        ONE_SERVICE,
        services=(ServicePlan(LISTS, 'association', endpoints=2, slots=1),),
    )

    async def test_request_handed_over_ends_in_time(self):
        conn = await self.cluster.connect(LISTS)
        home = self.flow_owner(conn)
        peer = next(each for each in self.cluster.instances if each != home)
        await peer.set_behavior(delay=1.0)
        board = conn.open('GET', '/boards/60')
        await self.wait_for_requests()
        handed = conn.open('POST', '/lists/1/edits', body=b'1')
        await self.wait_for_requests(2)
        self.assertEqual(len(await peer.journal()), 1)
        peer.sidecar.pause()
        began = asyncio.get_running_loop().time()
        answer = await handed.read_response(FOUND_SECONDS * 2)
        took = asyncio.get_running_loop().time() - began
        self.assertLess(took, FOUND_SECONDS, answer)
        self.assertEqual(answer.outcome, 'unknown', answer)
        board.cancel()


if __name__ == '__main__':
    unittest.main()
