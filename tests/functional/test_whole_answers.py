"""A client receives the whole answer to its own request, or a clear end."""

import asyncio
import unittest

from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.stream import NOT_RUN


class DatagramFaultsTest(ClusterTest):
    """The fabric loses, doubles and reorders datagrams."""

    async def test_answers_are_whole(self):
        await self.cluster.set_faults(loss=0.03, duplicate=0.05, reorder=0.1)
        async with self.load() as summary:
            await asyncio.sleep(3)
        await self.cluster.set_faults()
        await self.assert_promises(summary)


class BackendFaultsTest(ClusterTest):
    """The backend servers answer late, cut answers off, or are cancelled."""

    async def set_behavior(self, **changes):
        for instance in self.cluster.instances:
            await instance.set_behavior(**changes)

    async def test_cut_answer_is_no_answer(self):
        await self.set_behavior(cut=True)
        conn = await self.cluster.connect(LISTS)
        for path in ('/lists/1', '/exports/100000', '/boards/1'):
            with self.subTest(path=path):
                answer = await conn.request('GET', path)
                whole = answer.complete and answer.status == 200
                self.assertFalse(whole, answer)
        await self.set_behavior(cut=False)
        answer = await conn.request('GET', '/lists/2')
        self.assertEqual(answer.body, answers.list_body(LISTS, '2'))

    async def test_cancelled_request_leaves_no_answer_for_another(self):
        await self.set_behavior(delay=0.3)
        conn = await self.cluster.connect(LISTS)
        for number in range(4):
            gone = conn.open('GET', f'/lists/{number}')
            await self.wait_work(2 * number + 1)
            gone.cancel()
            wanted = str(100 + number)
            answer = await conn.request('GET', f'/lists/{wanted}')
            self.assertEqual(answer.body, answers.list_body(LISTS, wanted))
        states = [each.state for each in await self.cluster.journal()]
        self.assertEqual(states.count('abandoned'), 4, states)

    async def test_answers_out_of_order_reach_their_own_requests(self):
        conn = await self.cluster.connect(LISTS)
        await self.cluster.instances[0].set_behavior(delay=0.5)
        streams = [conn.open('GET', f'/lists/{each}') for each in range(6)]
        for number, stream in enumerate(streams):
            answer = await stream.answer(5)
            expected = answers.list_body(LISTS, str(number))
            self.assertEqual(answer.body, expected)

    async def test_late_answer_past_the_deadline_is_unknown_at_once(self):
        await self.set_behavior(late=True)
        conn = await self.cluster.connect(LISTS)
        headers = (('x-request-timeout-ms', '400'),)
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await conn.request('POST', '/lists/1/edits', headers, b'1')
        self.assertLess(loop.time() - began, 1.5)
        self.assertNotEqual(answer.outcome, NOT_RUN)
        self.assertEqual((answer.status, answer.outcome), (504, 'unknown'))
        await self.set_behavior(late=False)
        answer = await conn.request('GET', '/lists/2')
        self.assertEqual(answer.body, answers.list_body(LISTS, '2'))


if __name__ == '__main__':
    unittest.main()
