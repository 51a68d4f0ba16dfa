"""What is refused as "not run" truly did not run."""

import asyncio
import unittest

from attrs import evolve

from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.declarations import ANYWHERE_RULES
from tests.lib.stream import NOT_RUN, UNKNOWN
from tests.lib.waiting import eventually

SLOTS = 2
QUEUE = 2
SERVICE_SECONDS = 1.0
BUSY_SECONDS = 0.1
TIGHT = evolve(
    ONE_SERVICE,
    services=(
        ServicePlan(
            LISTS,
            'association',
            endpoints=1,
            slots=SLOTS,
            rules=evolve(ANYWHERE_RULES, queue_limit=QUEUE),
        ),
    ),
)
ECHO = evolve(ONE_SERVICE, backend_flags=('--echo',))


class FullQueueTest(ClusterTest):
    """One endpoint with two slots and room for two that wait."""

    plan = TIGHT

    async def test_refusals_are_prompt_and_true(self):
        self.instance = self.cluster.instances[0]
        await self.instance.set_behavior(delay=SERVICE_SECONDS)
        # One client may hold half of a queue, so it takes two to fill it.
        self.flows = [await self.cluster.connect(LISTS) for _ in range(2)]
        for step in (
            self._assert_all_but_slots_and_queue_are_refused,
            self._assert_refusal_does_not_wait,
            self._assert_deadline_that_passes_in_the_queue,
        ):
            with self.subTest(step.__name__):
                await step()

    async def _assert_all_but_slots_and_queue_are_refused(self):
        streams = [self._save(f'burst-{each}', each) for each in range(10)]
        ended = await asyncio.gather(
            *(each.read_response(10) for each in streams)
        )
        refused = [each for each in ended if each.outcome == NOT_RUN]
        self.assertEqual(len(refused), len(ended) - SLOTS - QUEUE)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertGreaterEqual(int(answer.headers['retry-after']), 1)
        ran = await self._ran()
        for number, answer in enumerate(ended):
            name = f'burst-{number}'
            self.assertEqual(name in ran, answer.status == 201, answer)

    async def _assert_refusal_does_not_wait(self):
        before = len(await self._ran())
        streams = [self._save(f'busy-{each}', each) for each in range(SLOTS)]
        await self.wait_for_requests(before + SLOTS)
        streams.extend(
            self._save(f'next-{each}', each) for each in range(QUEUE)
        )
        await eventually(self._is_queue_full, what='the queue is full')
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await self._save('late', 0).read_response(5)
        self.assertLess(loop.time() - began, 0.5)
        self.assertEqual(answer.outcome, NOT_RUN)
        await asyncio.gather(*(each.read_response(10) for each in streams))
        self.assertNotIn('late', await self._ran())

    async def _assert_deadline_that_passes_in_the_queue(self):
        before = len(await self._ran())
        streams = [self._save(f'slot-{each}', each) for each in range(SLOTS)]
        await self.wait_for_requests(before + SLOTS)
        limit = ('x-request-timeout-ms', '300')
        answer = await self._save('expired', 0, limit).read_response(5)
        self.assertEqual(answer.outcome, NOT_RUN, answer)
        await asyncio.gather(*(each.read_response(10) for each in streams))
        self.assertNotIn('expired', await self._ran())

    def _save(self, name, flow, *headers):
        fields = (('x-request-id', name), *headers)
        conn = self.flows[flow % len(self.flows)]
        return conn.open('POST', '/lists/1/edits', fields, b'1')

    async def _is_queue_full(self) -> bool:
        status = await self.status(self.instance.endpoint.address)
        return status['queued'] == QUEUE

    async def _ran(self):
        return {each.id for each in await self.instance.journal()}


class KilledBackendTest(ClusterTest):
    """A backend server is killed before, while and after it runs a save."""

    plan = ECHO

    async def test_kill_while_it_runs_is_unknown(self):
        await self.set_delay(3)
        conn = await self.cluster.connect(LISTS)
        headers = (('x-request-id', 'running'),)
        stream = conn.open('POST', '/lists/1/edits', headers, b'1')
        await self.wait_for_requests()
        journal = await self.cluster.journal()
        ran_at = self.cluster.find_instance(journal[0].instance)
        await ran_at.kill_backend()
        answer = await stream.read_response(5)
        self.assertEqual(answer.outcome, UNKNOWN, answer)
        entries = await self.cluster.journal()
        self.assertEqual([each.id for each in entries], ['running'])

    async def test_kill_under_load_leaves_every_refusal_true(self):
        await self.set_delay(BUSY_SECONDS)
        async with self.load(self.target(8, list=1, edit=3)) as summary:
            await self.wait_for_requests(20)
            victim = self.cluster.instances[0]
            await victim.kill_backend()
            await asyncio.sleep(1)
            await victim.backend.start()
            await asyncio.sleep(1)
        self.assert_counts(summary, wrong_body=0, wrong_service=0)
        await self.assert_journals(summary)
        self.assertGreater(summary.whole, 20)
        self.assertGreater(summary.unknown, 0)


class KilledSidecarTest(ClusterTest):
    """A sidecar is killed under load."""

    async def test_kill_under_load_leaves_every_refusal_true(self):
        await self.set_delay(BUSY_SECONDS)
        mix = self.target(8, list=1, edit=3)
        async with self.load(mix, idle_timeout=4.0) as summary:
            await self.wait_for_requests(20)
            victim = self.cluster.instances[0]
            await victim.sidecar.kill()
            await asyncio.sleep(0.5)
            await victim.sidecar.start()
            await asyncio.sleep(1)
        self.assert_counts(summary, wrong_body=0, wrong_service=0)
        await self.assert_journals(summary)
        self.assertGreater(summary.broken_flows, 0)


if __name__ == '__main__':
    unittest.main()
