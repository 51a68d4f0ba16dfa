"""Requests of each kind complete end to end, through every balancer.

Packets of one flow are spread over all balancers, so a balancer that steers
them to another sidecar would break the flow.
"""

import unittest

from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, PARTS, ClusterPlan
from tests.lib.load import KEY_HEADER, KEY_PATH

EXPORT_BYTES = 150_000
PHOTO = bytes(range(256)) * 300


class EndToEndTest(ClusterTest):
    """Two services behind three balancers."""

    plan = ClusterPlan()

    async def test_each_kind_of_request_completes(self):
        await self._assert_each_kind_completes()
        await self._assert_save_with_a_key_is_not_run_again()

    async def _assert_each_kind_completes(self):
        lists_conn = await self.cluster.connect(LISTS)
        parts_conn = await self.cluster.connect(PARTS)
        requests = (
            (lists_conn, 'GET', '/lists/7', b'', answers.list_body(LISTS, '7')),
            (
                lists_conn,
                'POST',
                '/lists/7/edits',
                b'1',
                answers.save_answer(b'1'),
            ),
            (
                lists_conn,
                'GET',
                f'/exports/{EXPORT_BYTES}',
                b'',
                answers.export_part(0, EXPORT_BYTES),
            ),
            (parts_conn, 'POST', '/tickets', b'2', answers.save_answer(b'2')),
            (parts_conn, 'PUT', '/photos/3', PHOTO, answers.save_answer(PHOTO)),
            (parts_conn, 'GET', '/boards/0.6', b'', answers.board_body(0.6)),
        )
        for conn, method, path, body, expected in requests:
            with self.subTest(path=path):
                response = await conn.request(method, path, body=body)
                self.assertTrue(response.complete, response.failure)
                self.assertEqual(response.body, expected)
        await self._assert_all_balancers_used(lists_conn.local_address)
        await self._assert_all_balancers_used(parts_conn.local_address)
        journal = await self.cluster.journal()
        self.assertEqual(len(journal), len(requests))

    async def _assert_save_with_a_key_is_not_run_again(self):
        runs_before = len(await self.cluster.journal())
        conn = await self.cluster.connect(PARTS)
        key_response = await conn.request('POST', KEY_PATH)
        self.assertEqual(key_response.status, 201, key_response)
        headers = ((KEY_HEADER, key_response.body.decode()),)
        first = await conn.request('POST', '/tickets', headers, b'3')
        repeated = await conn.request('POST', '/tickets', headers, b'3')
        self.assertEqual((first.status, repeated.status), (201, 201))
        self.assertEqual(first.body, repeated.body)
        self.assertEqual(len(await self.cluster.journal()), runs_before + 1)

    async def _assert_all_balancers_used(self, client):
        packet_counts = await self.cluster.count_datagrams(client)
        hosts = {each.host for each in self.cluster.balancers}
        self.assertEqual(set(packet_counts), hosts)


if __name__ == '__main__':
    unittest.main()
