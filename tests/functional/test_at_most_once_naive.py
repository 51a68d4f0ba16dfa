"""The naive version, where each sidecar knows its own keys only.

The same steps against the product are in ``test_at_most_once``.
"""

import asyncio

from attrs import evolve

from bench.naive import NAIVE_FLAGS
from tests.lib.keyed import IdempotentSaveTest


class NaiveAskedAgainTest(IdempotentSaveTest):
    """A save is run again wherever it is asked for."""

    plan = evolve(
        IdempotentSaveTest.plan,
        daemon_flags=(*IdempotentSaveTest.plan.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_runs_a_save_again(self):
        conn, home, key = await self.open_flow_with_key()
        elsewhere = await self.connect_to_other_instance(home)
        with self.subTest('after a lost answer'):
            self.assert_saved(await self.send_save(conn, key))
            self.assert_saved(await self.send_save(elsewhere, key))
            runs = len(await self.cluster.journal())
            self.assertGreater(runs, 1)
        with self.subTest('at the same time'):
            again = await self.issue_key(conn)
            await asyncio.gather(
                self.send_save(conn, again),
                self.send_save(elsewhere, again),
            )
            self.assertGreater(len(await self.cluster.journal()), runs + 1)
