"""The naive version, where each sidecar knows its own keys only.

The same steps against the product are in ``test_at_most_once``.
"""

import asyncio

from attrs import evolve

from bench.naive import NAIVE_FLAGS
from tests.lib.keyed import KeyedTest


class NaiveAskedAgainTest(KeyedTest):
    """A save is run again wherever it is asked for."""

    plan = evolve(
        KeyedTest.plan,
        daemon_flags=(*KeyedTest.plan.daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_runs_a_save_again(self):
        conn, home, key = await self.take_key()
        elsewhere = await self.connect_elsewhere(home)
        with self.subTest('after a lost answer'):
            self.assert_saved(await self.ask(conn, key))
            self.assert_saved(await self.ask(elsewhere, key))
            runs = len(await self.cluster.journal())
            self.assertGreater(runs, 1)
        with self.subTest('at the same time'):
            again = await self.issue_key(conn)
            await asyncio.gather(
                self.ask(conn, again),
                self.ask(elsewhere, again),
            )
            self.assertGreater(len(await self.cluster.journal()), runs + 1)
