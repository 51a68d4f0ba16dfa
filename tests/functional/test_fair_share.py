"""One client address keeps the queue of an endpoint full over many flows.

Without shares, requests of all other clients are refused as long as it does.
"""

import asyncio
import unittest

from attrs import evolve

from tests.lib import certificates
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.declarations import ANYWHERE_RULES
from tests.lib.h3 import H3Client
from tests.lib.plan import CLIENT_HOST
from tests.lib.stream import NOT_RUN

QUEUE_LIMIT = 4
SERVICE_SECONDS = 0.5
OTHER_CLIENT_HOST = CLIENT_HOST + 1


class FairShareTest(ClusterTest):
    """One endpoint has one slot and a queue of four requests."""

    plan = evolve(
        ONE_SERVICE,
        services=(
            ServicePlan(
                LISTS,
                'association',
                endpoints=1,
                slots=1,
                rules=evolve(ANYWHERE_RULES, queue_limit=QUEUE_LIMIT),
            ),
        ),
        daemon_flags=(*ONE_SERVICE.daemon_flags, '--admission=fair-share'),
    )

    async def test_request_of_another_client_displaces_a_queued_one(self):
        await self.cluster.instances[0].set_behavior(delay=SERVICE_SECONDS)
        # One runs, the queue holds four, and the last one is refused.
        flows = [
            await self.cluster.connect(LISTS) for _ in range(QUEUE_LIMIT + 2)
        ]
        other = await H3Client.connect(
            self.cluster.address(LISTS),
            self.cluster.certificates.ca,
            certificates.SERVER_NAME,
            local_host=self.cluster.network.host(OTHER_CLIENT_HOST),
        )
        heavy = [
            flow.open('POST', '/lists/1/edits', body=b'1') for flow in flows
        ]
        await asyncio.sleep(SERVICE_SECONDS / 2)
        light = other.open('POST', '/lists/1/edits', body=b'1')
        loop = asyncio.get_running_loop()
        started = loop.time()
        served = await light.read_response(10)
        elapsed = loop.time() - started
        await other.aclose()
        self.assertEqual(served.status, 201)
        self.assertLess(elapsed, 3 * SERVICE_SECONDS)
        responses = await asyncio.gather(
            *(each.read_response(10) for each in heavy)
        )
        outcomes = [each.outcome for each in responses]
        self.assertEqual(outcomes.count(NOT_RUN), 2)
        # A refusal that says "not run" is true.
        self.assertEqual(len(await self.cluster.journal()), QUEUE_LIMIT + 1)


if __name__ == '__main__':
    unittest.main()
