"""Base class of tests that repeat a save with its idempotency key."""

import asyncio

from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, ClusterPlan, Instance, ServicePlan
from tests.lib.h3 import H3Client
from tests.lib.load import KEY_HEADER, KEY_PATH
from tests.lib.stream import Response

EDIT = '/lists/7/edits'
BODY = b'one set text'
CONNECT_SECONDS = 10.0
SLOW_SECONDS = 1.0


class IdempotentSaveTest(ClusterTest):
    """Runs three instances.

    A repeated save can thus arrive at an instance that is not the key owner.
    """

    plan = ClusterPlan(
        services=(ServicePlan(LISTS, 'association', endpoints=3, slots=3),),
        balancers=2,
    )

    async def open_flow_with_key(self) -> tuple[H3Client, Instance, str]:
        """Open a flow; return it, its instance and a key issued by it."""
        conn = await self.cluster.connect(LISTS)
        return conn, self.flow_owner(conn), await self.issue_key(conn)

    async def issue_key(self, conn: H3Client) -> str:
        """Request an idempotency key from the flow's instance."""
        answer = await conn.request('POST', KEY_PATH)
        self.assertEqual(answer.status, 201, answer)
        return answer.body.decode()

    async def send_save(self, conn: H3Client, key: str) -> Response:
        """Send the save with an idempotency key."""
        headers = ((KEY_HEADER, key),)
        return await conn.request('POST', EDIT, headers, BODY, timeout=10)

    async def connect_to_other_instance(self, key_owner: Instance) -> H3Client:
        """Open a flow that an instance other than the key owner owns."""
        async with asyncio.timeout(CONNECT_SECONDS):
            while True:
                conn = await self.cluster.connect(LISTS)
                if self.flow_owner(conn) is not key_owner:
                    return conn
                await conn.aclose()

    async def slow_backends(self) -> None:
        """Slow the backend servers, so that a repeat finds the save running."""
        for instance in self.cluster.instances:
            await instance.set_behavior(delay=SLOW_SECONDS)

    def assert_saved(self, *saves: Response) -> None:
        """Assert that all answers confirm the save."""
        for answer in saves:
            self.assertTrue(answer.complete, answer)
            self.assertEqual(answer.status, 201, answer)
            self.assertEqual(answer.body, answers.save_answer(BODY))

    async def assert_run_count(self, count: int) -> None:
        """Assert that the backend servers ran ``count`` saves in total."""
        journal = await self.cluster.journal()
        self.assertEqual(len(journal), count, journal)
