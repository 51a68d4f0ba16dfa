"""A process that resumes after a long pause doesn't act on stale state.

Timeouts expire during the pause. If the process went on with requests from
before it, they could run twice or get a wrong response.
"""

import asyncio
import unittest

from attrs import evolve

from tests.lib import answers
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan

IDLE_SECONDS = 2.0
PAUSE_SECONDS = 4.5


class PausesTest(ClusterTest):
    """Processes are paused under load, with three endpoints and balancers."""

    plan = evolve(
        ONE_SERVICE,
        services=(ServicePlan(LISTS, 'association', endpoints=3, slots=3),),
        balancers=3,
        daemon_flags=(f'--idle-timeout={IDLE_SECONDS}',),
    )

    async def test_sidecar_and_balancer_paused_beyond_every_timeout(self):
        sidecar = self.cluster.instances[0].sidecar
        balancer = self.cluster.balancers[0]
        load_target = self.target(6, list=4, edit=2)
        async with self.load(load_target, idle_timeout=IDLE_SECONDS) as summary:
            await self.wait_for_requests(20)
            sidecar.pause()
            balancer.program.pause()
            await asyncio.sleep(0.5)
            self.cluster.balancers.remove(balancer)
            await self.cluster.update_fabric()
            await asyncio.sleep(PAUSE_SECONDS)
            sidecar.resume()
            balancer.program.resume()
            self.cluster.balancers.append(balancer)
            await self.cluster.update_fabric()
            completed = summary.whole
            await asyncio.sleep(1.5)
        self.assertGreater(summary.whole, completed + 10)
        self.assert_counts(summary, wrong_body=0, wrong_service=0)
        await self.assert_journals(summary)
        await self._assert_serves()

    async def test_backend_and_platform_paused(self):
        backend = self.cluster.instances[0].backend
        load_target = self.target(6, list=4, edit=2)
        async with self.load(
            load_target, idle_timeout=IDLE_SECONDS * 2
        ) as summary:
            await self.wait_for_requests(20)
            backend.pause()
            self.cluster.platform.pause()
            await asyncio.sleep(PAUSE_SECONDS)
            backend.resume()
            self.cluster.platform.resume()
            await asyncio.sleep(0.5)
        self.assert_counts(
            summary,
            wrong_body=0,
            wrong_service=0,
            broken_flows=0,
        )
        await self.assert_journals(summary)
        await self._assert_serves()

    async def _assert_serves(self):
        for number in range(6):
            conn = await self.cluster.connect(LISTS)
            response = await conn.request('GET', f'/lists/{number}')
            expected = answers.list_body(LISTS, str(number))
            self.assertEqual(response.body, expected, response)


if __name__ == '__main__':
    unittest.main()
