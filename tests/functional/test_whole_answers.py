"""A client receives the whole answer to its own request, or a clear end."""

import asyncio
import unittest

from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.waiting import eventually


class DatagramFaultsTest(ClusterTest):
    """The fabric loses, doubles and reorders datagrams."""

    async def test_answers_are_whole(self):
        await self.cluster.set_faults(loss=0.03, duplicate=0.05, reorder=0.1)
        async with self.load() as summary:
            await asyncio.sleep(3)
        await self.cluster.set_faults()
        await self.assert_guarantees(summary)


class BackendFaultsTest(ClusterTest):
    """The backend servers answer late, cut answers off, or are cancelled."""

    async def test_each_fault_in_turn(self):
        self.conn = await self.cluster.connect(LISTS)
        for step in (
            self._assert_cut_answer_is_no_answer,
            self._assert_cancelled_request_leaves_no_answer,
            self._assert_answers_out_of_order_reach_their_requests,
            self._assert_late_answer_is_unknown_at_once,
        ):
            with self.subTest(step.__name__):
                await step()
                await self._set_behavior(delay=0.005, cut=False, late=False)
                await self._assert_list('1')

    async def _assert_cut_answer_is_no_answer(self):
        await self._set_behavior(cut=True)
        for path in ('/lists/1', '/exports/100000', '/boards/1'):
            answer = await self.conn.request('GET', path)
            whole = answer.complete and answer.status == 200
            self.assertFalse(whole, answer)

    async def _assert_cancelled_request_leaves_no_answer(self):
        await self._set_behavior(delay=0.3)
        for number in range(4):
            path = f'/lists/4{number}'
            gone = self.conn.open('GET', path)
            await self._wait_state(path, 'running')
            gone.cancel()
            await self._assert_list(f'10{number}')
            await self._wait_state(path, 'abandoned')

    async def _assert_answers_out_of_order_reach_their_requests(self):
        await self.cluster.instances[0].set_behavior(delay=0.5)
        numbers = [str(each) for each in range(6)]
        streams = [self.conn.open('GET', f'/lists/{each}') for each in numbers]
        for number, stream in zip(numbers, streams, strict=True):
            answer = await stream.read_response(5)
            expected = answers.list_body(LISTS, number)
            self.assertEqual(answer.body, expected)

    async def _assert_late_answer_is_unknown_at_once(self):
        await self._set_behavior(late=True)
        headers = (('x-request-timeout-ms', '400'),)
        loop = asyncio.get_running_loop()
        began = loop.time()
        path = '/lists/1/edits'
        answer = await self.conn.request('POST', path, headers, b'1')
        self.assertLess(loop.time() - began, 1.5)
        self.assertEqual((answer.status, answer.outcome), (504, 'unknown'))

    async def _set_behavior(self, **changes):
        for instance in self.cluster.instances:
            await instance.set_behavior(**changes)

    async def _assert_list(self, number):
        answer = await self.conn.request('GET', f'/lists/{number}')
        self.assertEqual(answer.body, answers.list_body(LISTS, number))

    async def _wait_state(self, path, state):
        async def reached() -> bool:
            journal = await self.cluster.journal()
            states = [each.state for each in journal if each.path == path]
            return states == [state]

        await eventually(reached, what=f'{path} is {state}')


if __name__ == '__main__':
    unittest.main()
