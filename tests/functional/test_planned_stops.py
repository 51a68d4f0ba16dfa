"""A planned stop interrupts no running request.

Daemons that exit on SIGTERM before their requests end would truncate
responses and uploads.
"""

import asyncio
import unittest

from attrs import evolve

from tests.lib import answers
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan

BOARDS = 6
BOARD_SECONDS = 3.0
PHOTO = bytes(range(256)) * 400


class PlannedStopsTest(ClusterTest):
    """Two sidecars and a balancer receive SIGTERM at the same time."""

    plan = evolve(
        ONE_SERVICE,
        services=(ServicePlan(LISTS, 'association', endpoints=3, slots=4),),
    )

    async def test_two_sidecars_and_a_balancer_stop_together(self):
        cluster = self.cluster
        flows = [await cluster.connect(LISTS) for _ in range(BOARDS)]
        path = f'/boards/{BOARD_SECONDS}'
        boards = [each.open('GET', path) for each in flows]
        await self.wait_for_requests(BOARDS)
        uploads = [
            each.open('PUT', f'/photos/{number}', body=PHOTO)
            for number, each in enumerate(flows[:3])
        ]
        exit_statuses = await asyncio.gather(
            cluster.instances[0].sidecar.stop(),
            cluster.instances[1].sidecar.stop(),
            cluster.remove_balancer(cluster.balancers[0]),
            *(self._assert_board(each) for each in boards),
            *(self._assert_upload(each) for each in uploads),
        )
        self.assertEqual(exit_statuses[:3], [0, 0, 0])
        response = await (await cluster.connect(LISTS)).request(
            'GET', '/lists/1'
        )
        self.assertEqual(response.body, answers.list_body(LISTS, '1'))

    async def _assert_board(self, stream):
        response = await stream.read_response(BOARD_SECONDS * 3)
        self.assertEqual(response.failure, '')
        self.assertEqual(response.body, answers.board_body(BOARD_SECONDS))

    async def _assert_upload(self, stream):
        response = await stream.read_response(BOARD_SECONDS * 3)
        self.assertEqual(response.failure, '')
        self.assertEqual(response.body, answers.save_answer(PHOTO))


if __name__ == '__main__':
    unittest.main()
