"""A request that is refused as "not run" has not run.

Clients send such a request again, so a false refusal makes it run twice. It
may come from a full queue, an expired deadline or a killed process.
"""

import asyncio
import time
import unittest

from attrs import evolve

from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.declarations import ANYWHERE_RULES
from tests.lib.stream import NOT_RUN, UNKNOWN
from tests.lib.summary import started_after
from tests.lib.waiting import eventually

SLOTS = 2
QUEUE_LIMIT = 2
SERVICE_SECONDS = 1.0
LOADED_SERVICE_SECONDS = 0.1
BOARD_SECONDS = 5.0
SMALL_QUEUE_PLAN = evolve(
    ONE_SERVICE,
    services=(
        ServicePlan(
            LISTS,
            'association',
            endpoints=1,
            slots=SLOTS,
            rules=evolve(ANYWHERE_RULES, queue_limit=QUEUE_LIMIT),
        ),
    ),
)
ECHO_PLAN = evolve(ONE_SERVICE, backend_flags=('--echo',))


class FullQueueTest(ClusterTest):
    """One endpoint has two slots and a queue of two requests."""

    plan = SMALL_QUEUE_PLAN

    async def test_refusals_are_immediate_and_were_not_run(self):
        self.instance = self.cluster.instances[0]
        await self.instance.set_behavior(delay=SERVICE_SECONDS)
        # One client may use half of a queue, so two are needed to fill it.
        self.connections = [await self.cluster.connect(LISTS) for _ in range(2)]
        for step in (
            self._assert_excess_requests_are_refused,
            self._assert_refusal_is_immediate,
            self._assert_request_that_expires_in_queue_is_not_run,
        ):
            with self.subTest(step.__name__):
                await step()

    async def _assert_excess_requests_are_refused(self):
        streams = [self._save(f'burst-{each}', each) for each in range(10)]
        responses = await asyncio.gather(
            *(each.read_response(10) for each in streams)
        )
        refusals = [each for each in responses if each.outcome == NOT_RUN]
        self.assertEqual(len(refusals), len(responses) - SLOTS - QUEUE_LIMIT)
        for response in refusals:
            self.assertEqual(response.status, 503)
            self.assertGreaterEqual(int(response.headers['retry-after']), 1)
        executed = await self._executed_ids()
        for number, response in enumerate(responses):
            name = f'burst-{number}'
            self.assertEqual(name in executed, response.status == 201, response)

    async def _assert_refusal_is_immediate(self):
        runs_before = len(await self._executed_ids())
        streams = [self._save(f'busy-{each}', each) for each in range(SLOTS)]
        await self.wait_for_requests(runs_before + SLOTS)
        streams.extend(
            self._save(f'next-{each}', each) for each in range(QUEUE_LIMIT)
        )
        await eventually(self._is_queue_full, what='the queue is full')
        loop = asyncio.get_running_loop()
        started = loop.time()
        response = await self._save('late', 0).read_response(5)
        self.assertLess(loop.time() - started, 0.5)
        self.assertEqual(response.outcome, NOT_RUN)
        await asyncio.gather(*(each.read_response(10) for each in streams))
        self.assertNotIn('late', await self._executed_ids())

    async def _assert_request_that_expires_in_queue_is_not_run(self):
        runs_before = len(await self._executed_ids())
        streams = [self._save(f'slot-{each}', each) for each in range(SLOTS)]
        await self.wait_for_requests(runs_before + SLOTS)
        timeout = ('x-request-timeout-ms', '300')
        response = await self._save('expired', 0, timeout).read_response(5)
        self.assertEqual(response.outcome, NOT_RUN, response)
        await asyncio.gather(*(each.read_response(10) for each in streams))
        self.assertNotIn('expired', await self._executed_ids())

    def _save(self, name, flow, *headers):
        fields = (('x-request-id', name), *headers)
        conn = self.connections[flow % len(self.connections)]
        return conn.open('POST', '/lists/1/edits', fields, b'1')

    async def _is_queue_full(self) -> bool:
        status = await self.status(self.instance.endpoint.address)
        return status['queued'] == QUEUE_LIMIT

    async def _executed_ids(self):
        return {each.id for each in await self.instance.journal()}


class KilledBackendTest(ClusterTest):
    """A backend server is killed while it runs a save, and under load."""

    plan = ECHO_PLAN

    async def test_outcome_is_unknown_when_killed_while_running(self):
        await self.set_delay(3)
        conn = await self.cluster.connect(LISTS)
        headers = (('x-request-id', 'running'),)
        stream = conn.open('POST', '/lists/1/edits', headers, b'1')
        await self.wait_for_requests()
        journal = await self.cluster.journal()
        executing_instance = self.cluster.find_instance(journal[0].instance)
        await executing_instance.kill_backend()
        response = await stream.read_response(5)
        self.assertEqual(response.outcome, UNKNOWN, response)
        entries = await self.cluster.journal()
        self.assertEqual([each.id for each in entries], ['running'])

    async def test_refused_requests_never_ran_after_kill_under_load(self):
        await self.set_delay(LOADED_SERVICE_SECONDS)
        async with self.load(self.target(8, list=1, edit=3)) as summary:
            await self.wait_for_requests(20)
            killed_instance = self.cluster.instances[0]
            await self._wait_for_long_save(killed_instance)
            await killed_instance.kill_backend()
            await asyncio.sleep(1)
            await killed_instance.backend.start()
            await asyncio.sleep(1)
        self.assert_counts(summary, wrong_body=0, wrong_service=0)
        await self.assert_journals(summary)
        self.assertGreater(summary.whole, 20)
        self.assertGreater(summary.unknown, 0)

    async def _wait_for_long_save(self, instance):
        """Lengthen the service time and wait for a save that started since.

        A kill while no save runs would leave no unknown outcome to check.
        """
        await instance.set_behavior(delay=SERVICE_SECONDS)
        since = time.time()

        async def is_running() -> bool:
            journal = await instance.journal()
            return any(
                each.method == 'POST' and each.state == 'running'
                for each in started_after(journal, instance.name, since)
            )

        await eventually(is_running, what=f'a save runs on {instance.name}')


class KilledSidecarTest(ClusterTest):
    """A sidecar is killed under load."""

    async def test_refused_requests_never_ran_after_kill_under_load(self):
        await self.set_delay(LOADED_SERVICE_SECONDS)
        conn = await self.cluster.connect(LISTS)
        killed_instance = self.flow_owner(conn)
        load_target = self.target(8, list=1, edit=3)
        async with self.load(load_target, idle_timeout=4.0) as summary:
            await self.wait_for_requests(20)
            # Without it, the kill may by chance meet no request that is under
            # way on a flow of this sidecar.
            stream = conn.open('GET', f'/boards/{BOARD_SECONDS}')
            await killed_instance.sidecar.kill()
            await asyncio.sleep(0.5)
            await killed_instance.sidecar.start()
            await asyncio.sleep(1)
        self.assert_counts(summary, wrong_body=0, wrong_service=0)
        await self.assert_journals(summary)
        response = await stream.read_response(2 * BOARD_SECONDS)
        self.assertTrue(response.flow_broken, response)
        self.assertTrue(conn.failure, response)


if __name__ == '__main__':
    unittest.main()
