"""A leaving instance gets no new requests, whatever triggers the drain.

A drain starts from a document, the backend server or a signal; a balancer or
peer that misses one of them would go on sending requests.
"""

import asyncio
import time
import unittest

from attrs import evolve

from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.summary import started_after

DRAIN_NOTICE_SECONDS = 3.0
LOAD_SECONDS = 4.5


class LeavingTest(ClusterTest):
    """Some of four endpoints are drained under load."""

    plan = evolve(
        ONE_SERVICE,
        services=(ServicePlan(LISTS, 'association', endpoints=4, slots=3),),
    )

    async def test_drain_by_document_backend_and_signal(self):
        by_document, by_backend, by_signal, _ = self.cluster.instances
        load_target = self.target(6, list=6, edit=2)
        async with self.load(load_target) as summary:
            await self.wait_for_requests(20)
            deadline = time.time() + DRAIN_NOTICE_SECONDS
            stopping = asyncio.create_task(by_signal.sidecar.stop())
            await by_backend.set_behavior(drain=True)
            await self.cluster.register.mark_leaving(LISTS, by_document.name)
            await asyncio.sleep(LOAD_SECONDS)
            self.assertEqual(await stopping, 0)
        await self.assert_guarantees(summary)
        await self._assert_idle(deadline, by_document, by_backend, by_signal)

    async def test_drain_while_the_platform_serves_stale_documents(self):
        by_backend, by_signal, *_ = self.cluster.instances
        await self.cluster.set_platform_mode('stale')
        await self.cluster.register.remove_endpoint(LISTS, by_signal.name)
        load_target = self.target(6, list=6, edit=2)
        async with self.load(load_target) as summary:
            await self.wait_for_requests(20)
            deadline = time.time() + DRAIN_NOTICE_SECONDS
            stopping = asyncio.create_task(by_signal.sidecar.stop())
            await by_backend.set_behavior(drain=True)
            await asyncio.sleep(LOAD_SECONDS)
            self.assertEqual(await stopping, 0)
        await self.assert_guarantees(summary)
        await self._assert_idle(deadline, by_backend, by_signal)

    async def _assert_idle(self, deadline, *instances):
        journal = await self.cluster.journal()
        for instance in instances:
            self.assertEqual(
                started_after(journal, instance.name, deadline), []
            )
        working = [
            each
            for each in self.cluster.instances
            if started_after(journal, each.name, deadline)
        ]
        self.assertEqual(
            len(working),
            len(self.cluster.instances) - len(instances),
        )


if __name__ == '__main__':
    unittest.main()
