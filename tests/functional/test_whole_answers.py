"""A client receives the complete response to its request, or an error.

Lost datagrams, and truncated, late or cancelled responses of backend servers
could lead to partial responses or to those of another request.
"""

import asyncio
import unittest

from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.waiting import eventually


class DatagramFaultsTest(ClusterTest):
    """The fabric drops, duplicates and reorders datagrams."""

    async def test_responses_are_complete(self):
        await self.cluster.set_faults(loss=0.03, duplicate=0.05, reorder=0.1)
        async with self.load() as summary:
            await asyncio.sleep(3)
        await self.cluster.set_faults()
        await self.assert_guarantees(summary)


class BackendFaultsTest(ClusterTest):
    """Backend servers respond late or partially, or requests are cancelled."""

    async def test_each_fault_in_turn(self):
        self.conn = await self.cluster.connect(LISTS)
        for step in (
            self._assert_truncated_response_is_incomplete,
            self._assert_cancelled_request_does_not_affect_next,
            self._assert_reordered_responses_match_requests,
            self._assert_timeout_is_unknown_and_prompt,
        ):
            with self.subTest(step.__name__):
                await step()
                await self._set_behavior(delay=0.005, cut=False, late=False)
                await self._assert_list('1')

    async def _assert_truncated_response_is_incomplete(self):
        await self._set_behavior(cut=True)
        for path in ('/lists/1', '/exports/100000', '/boards/1'):
            response = await self.conn.request('GET', path)
            succeeded = response.complete and response.status == 200
            self.assertFalse(succeeded, response)

    async def _assert_cancelled_request_does_not_affect_next(self):
        await self._set_behavior(delay=0.3)
        for number in range(4):
            path = f'/lists/4{number}'
            cancelled = self.conn.open('GET', path)
            await self._wait_for_state(path, 'running')
            cancelled.cancel()
            await self._assert_list(f'10{number}')
            await self._wait_for_state(path, 'abandoned')

    async def _assert_reordered_responses_match_requests(self):
        await self.cluster.instances[0].set_behavior(delay=0.5)
        numbers = [str(each) for each in range(6)]
        streams = [self.conn.open('GET', f'/lists/{each}') for each in numbers]
        for number, stream in zip(numbers, streams, strict=True):
            response = await stream.read_response(5)
            expected = answers.list_body(LISTS, number)
            self.assertEqual(response.body, expected)

    async def _assert_timeout_is_unknown_and_prompt(self):
        await self._set_behavior(late=True)
        headers = (('x-request-timeout-ms', '400'),)
        loop = asyncio.get_running_loop()
        started = loop.time()
        path = '/lists/1/edits'
        response = await self.conn.request('POST', path, headers, b'1')
        self.assertLess(loop.time() - started, 1.5)
        self.assertEqual((response.status, response.outcome), (504, 'unknown'))

    async def _set_behavior(self, **changes):
        for instance in self.cluster.instances:
            await instance.set_behavior(**changes)

    async def _assert_list(self, number):
        response = await self.conn.request('GET', f'/lists/{number}')
        self.assertEqual(response.body, answers.list_body(LISTS, number))

    async def _wait_for_state(self, path, state):
        async def in_state() -> bool:
            journal = await self.cluster.journal()
            states = [each.state for each in journal if each.path == path]
            return states == [state]

        await eventually(in_state, what=f'{path} is {state}')


if __name__ == '__main__':
    unittest.main()
