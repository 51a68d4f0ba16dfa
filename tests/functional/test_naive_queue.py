"""More concurrent saves than slots, in the naive version.

Admission queues without a limit, so responses come late and a request that
expires has an unknown outcome.

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
QUEUE_LIMIT = 2
BURST = 10
SERVICE_SECONDS = 0.5
SAVE = '/lists/1/edits'


class NaiveQueueTest(ClusterTest):
    """One endpoint with two slots receives more saves than it can run."""

    plan = evolve(
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
        daemon_flags=(*ONE_SERVICE.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_queues_all_and_responds_late(self):
        instance = self.cluster.instances[0]
        await instance.set_behavior(delay=SERVICE_SECONDS)
        conn = await self.cluster.connect(LISTS)
        loop = asyncio.get_running_loop()
        started = loop.time()
        streams = [conn.open('POST', SAVE, body=b'1') for _ in range(BURST)]
        # Streams opened together may arrive in any order. The pause ensures
        # that the next one arrives last.
        await asyncio.sleep(SERVICE_SECONDS / 2)
        timeout_header = ('x-request-timeout-ms', '300')
        last_stream = conn.open('POST', SAVE, (timeout_header,), b'1')
        expired = await last_stream.read_response(10)
        elapsed = loop.time() - started
        responses = await asyncio.gather(
            *(each.read_response(10) for each in streams)
        )
        self.assertEqual({each.status for each in responses}, {201})
        self.assertGreater(elapsed, BURST / SLOTS * SERVICE_SECONDS * 0.9)
        self.assertEqual(expired.outcome, UNKNOWN, expired)


if __name__ == '__main__':
    unittest.main()
