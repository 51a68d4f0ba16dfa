"""The naive version, where each sidecar stores only its own keys.

The same steps against the product are in ``test_at_most_once``.
"""

import asyncio

from attrs import evolve

from bench.naive import NAIVE_FLAGS
from tests.lib.keyed import IdempotentSaveTest


class NaiveRepeatedRequestTest(IdempotentSaveTest):
    """Each sidecar that receives a repeated save runs it again."""

    plan = evolve(
        IdempotentSaveTest.plan,
        daemon_flags=(*IdempotentSaveTest.plan.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_runs_a_repeated_save_again(self):
        conn, key_owner, key = await self.open_flow_with_key()
        other_conn = await self.connect_to_other_instance(key_owner)
        with self.subTest('after a lost answer'):
            self.assert_saved(await self.send_save(conn, key))
            self.assert_saved(await self.send_save(other_conn, key))
            runs = len(await self.cluster.journal())
            self.assertGreater(runs, 1)
        with self.subTest('at the same time'):
            second_key = await self.issue_key(conn)
            await asyncio.gather(
                self.send_save(conn, second_key),
                self.send_save(other_conn, second_key),
            )
            self.assertGreater(len(await self.cluster.journal()), runs + 1)
