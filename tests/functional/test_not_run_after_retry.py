"""A request that has run isn't refused as "not run" after a failed retry.

The retry finds no other instance. Reporting only its result would hide that
the first attempt ran.
"""

import unittest

from attrs import evolve

from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.stream import UNKNOWN


class LastBackendKilledTest(ClusterTest):
    """The only backend server is killed while it runs a request."""

    plan = evolve(
        ONE_SERVICE,
        services=(ServicePlan(LISTS, 'association', endpoints=1, slots=2),),
        backend_flags=('--echo',),
    )

    async def test_outcome_of_interrupted_list_is_unknown(self):
        await self.set_delay(3)
        conn = await self.cluster.connect(LISTS)
        headers = (('x-request-id', 'running'),)
        stream = conn.open('GET', '/lists/1', headers)
        await self.wait_for_requests()
        await self.cluster.instances[0].kill_backend()
        # A list may be retried, but there is no other instance.
        response = await stream.read_response(5)
        self.assertEqual(response.outcome, UNKNOWN, response)
        journal = await self.cluster.journal()
        self.assertEqual([each.id for each in journal], ['running'])


if __name__ == '__main__':
    unittest.main()
