"""A leaving instance gets no new work, however it was told to leave."""

import asyncio
import time
import unittest

from attrs import evolve

from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.summary import started_after

NOTICE_SECONDS = 3.0
LOAD_SECONDS = 4.5


class LeavingTest(ClusterTest):
    """Four endpoints, of which some leave under load."""

    plan = evolve(
        ONE_SERVICE,
        services=(ServicePlan(LISTS, 'association', endpoints=4, slots=3),),
    )

    async def test_told_in_three_ways_at_once(self):
        by_register, by_backend, by_signal, _ = self.cluster.instances
        target = self.target(6, list=6, edit=2)
        async with self.load(target) as summary:
            await self.wait_for_requests(20)
            since = time.time() + NOTICE_SECONDS
            stopping = asyncio.create_task(by_signal.sidecar.stop())
            await by_backend.set_behavior(drain=True)
            await self.cluster.register.mark_leaving(LISTS, by_register.name)
            await asyncio.sleep(LOAD_SECONDS)
            self.assertEqual(await stopping, 0)
        await self.assert_guarantees(summary)
        await self._assert_idle(since, by_register, by_backend, by_signal)

    async def test_told_while_the_platform_serves_stale_documents(self):
        by_backend, by_signal, *_ = self.cluster.instances
        await self.cluster.set_platform_mode('stale')
        await self.cluster.register.remove_endpoint(LISTS, by_signal.name)
        target = self.target(6, list=6, edit=2)
        async with self.load(target) as summary:
            await self.wait_for_requests(20)
            since = time.time() + NOTICE_SECONDS
            stopping = asyncio.create_task(by_signal.sidecar.stop())
            await by_backend.set_behavior(drain=True)
            await asyncio.sleep(LOAD_SECONDS)
            self.assertEqual(await stopping, 0)
        await self.assert_guarantees(summary)
        await self._assert_idle(since, by_backend, by_signal)

    async def _assert_idle(self, since, *instances):
        journal = await self.cluster.journal()
        for instance in instances:
            self.assertEqual(started_after(journal, instance.name, since), [])
        working = [
            each
            for each in self.cluster.instances
            if started_after(journal, each.name, since)
        ]
        self.assertEqual(
            len(working),
            len(self.cluster.instances) - len(instances),
        )


if __name__ == '__main__':
    unittest.main()
