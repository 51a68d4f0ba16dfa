"""The naive version, where each sidecar stores only its own keys.

The same steps against the product are in ``test_at_most_once``.
"""

import asyncio

from attrs import evolve

from bench.naive import NAIVE_FLAGS
from tests.lib.keyed import KeyedTest


class NaiveRepeatedRequestTest(KeyedTest):
    """Each sidecar that receives a repeated save runs it again."""

    plan = evolve(
        KeyedTest.plan,
        daemon_flags=(*KeyedTest.plan.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_runs_a_repeated_save_again(self):
        conn, key_owner, key = await self.take_key()
        other_conn = await self.connect_elsewhere(key_owner)
        with self.subTest('after a lost answer'):
            self.assert_saved(await self.ask(conn, key))
            self.assert_saved(await self.ask(other_conn, key))
            runs = len(await self.cluster.journal())
            self.assertGreater(runs, 1)
        with self.subTest('at the same time'):
            second_key = await self.issue_key(conn)
            await asyncio.gather(
                self.ask(conn, second_key),
                self.ask(other_conn, second_key),
            )
            self.assertGreater(len(await self.cluster.journal()), runs + 1)
