"""More saves than slots, in the naive version.

The same steps against the product are in ``test_not_run``.
"""

import asyncio
import unittest

from attrs import evolve

from bench.naive import NAIVE_FLAGS
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.declarations import ANYWHERE_RULES
from tests.lib.stream import UNKNOWN

SLOTS = 2
QUEUE = 2
BURST = 10
SERVICE_SECONDS = 0.5
SAVE = '/lists/1/edits'


class NaiveQueueTest(ClusterTest):
    """One endpoint with two slots, and more saves than it can take."""

    plan = evolve(
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
        daemon_flags=(*ONE_SERVICE.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_refuses_nothing_and_answers_late(self):
        instance = self.cluster.instances[0]
        await instance.set_behavior(delay=SERVICE_SECONDS)
        conn = await self.cluster.connect(LISTS)
        loop = asyncio.get_running_loop()
        began = loop.time()
        burst = [conn.open('POST', SAVE, body=b'1') for _ in range(BURST)]
        # Streams that open together may arrive in any order; this one has to
        # be the last.
        await asyncio.sleep(SERVICE_SECONDS / 2)
        limit = ('x-request-timeout-ms', '300')
        last = conn.open('POST', SAVE, (limit,), b'1')
        expired = await last.read_response(10)
        took = loop.time() - began
        ended = await asyncio.gather(
            *(each.read_response(10) for each in burst)
        )
        self.assertEqual({each.status for each in ended}, {201})
        self.assertGreater(took, BURST / SLOTS * SERVICE_SECONDS * 0.9)
        self.assertEqual(expired.outcome, UNKNOWN, expired)


if __name__ == '__main__':
    unittest.main()
