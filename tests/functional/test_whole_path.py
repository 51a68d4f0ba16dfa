"""A request goes from one end to the other, over every balancer."""

import unittest

from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, PARTS, ClusterPlan
from tests.lib.load import KEY_HEADER, KEY_PATH

EXPORT_BYTES = 150_000
PHOTO = bytes(range(256)) * 300


class WholePathTest(ClusterTest):
    """Two services behind three balancers."""

    plan = ClusterPlan()

    async def test_each_kind_of_request_is_answered_whole(self):
        await self._assert_each_kind()
        await self._assert_save_with_a_key_is_not_run_again()

    async def _assert_each_kind(self):
        lists = await self.cluster.connect(LISTS)
        parts = await self.cluster.connect(PARTS)
        requests = (
            (lists, 'GET', '/lists/7', b'', answers.list_body(LISTS, '7')),
            (lists, 'POST', '/lists/7/edits', b'1', answers.save_answer(b'1')),
            (
                lists,
                'GET',
                f'/exports/{EXPORT_BYTES}',
                b'',
                answers.export_part(0, EXPORT_BYTES),
            ),
            (parts, 'POST', '/tickets', b'2', answers.save_answer(b'2')),
            (parts, 'PUT', '/photos/3', PHOTO, answers.save_answer(PHOTO)),
            (parts, 'GET', '/boards/0.6', b'', answers.board_body(0.6)),
        )
        for conn, method, path, body, expected in requests:
            with self.subTest(path=path):
                answer = await conn.request(method, path, body=body)
                self.assertTrue(answer.complete, answer.failure)
                self.assertEqual(answer.body, expected)
        await self._assert_spread(lists.local_address)
        await self._assert_spread(parts.local_address)
        journal = await self.cluster.journal()
        self.assertEqual(len(journal), len(requests))

    async def _assert_save_with_a_key_is_not_run_again(self):
        before = len(await self.cluster.journal())
        conn = await self.cluster.connect(PARTS)
        issued = await conn.request('POST', KEY_PATH)
        self.assertEqual(issued.status, 201, issued)
        headers = ((KEY_HEADER, issued.body.decode()),)
        first = await conn.request('POST', '/tickets', headers, b'3')
        again = await conn.request('POST', '/tickets', headers, b'3')
        self.assertEqual((first.status, again.status), (201, 201))
        self.assertEqual(first.body, again.body)
        self.assertEqual(len(await self.cluster.journal()), before + 1)

    async def _assert_spread(self, client):
        spread = await self.cluster.count_datagrams(client)
        hosts = {each.host for each in self.cluster.balancers}
        self.assertEqual(set(spread), hosts)


if __name__ == '__main__':
    unittest.main()
