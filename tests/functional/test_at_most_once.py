"""A save that is asked for again is answered again, not run again."""

import asyncio

from tests.lib.keyed import BODY, EDIT, KeyedTest
from tests.lib.load import KEY_HEADER


class AskedAgainTest(KeyedTest):
    """The key's home lives on."""

    async def test_asked_again_after_a_lost_answer(self):
        conn, home, key = await self.take_key()
        await self.slow_down()
        conn.open('POST', EDIT, ((KEY_HEADER, key),), BODY)
        await self.wait_work()
        # The client goes silent: no answer reaches it any more.
        conn.lost('cut')
        elsewhere = await self.connect_elsewhere(home)
        running = await self.ask(elsewhere, key)
        stored = await self.ask(elsewhere, key)
        self.assert_saved(running, stored)
        await self.assert_runs(1)

    async def test_asked_twice_at_the_same_time(self):
        conn, home, key = await self.take_key()
        await self.slow_down()
        flows = [
            conn,
            await self.connect_elsewhere(home),
            await self.connect_elsewhere(home),
        ]
        asked = await asyncio.gather(
            *(self.ask(flow, key) for flow in flows),
        )
        self.assert_saved(*asked)
        await self.assert_runs(1)

    async def test_asked_again_while_its_home_is_frozen(self):
        conn, home, key = await self.take_key()
        self.assert_saved(await self.ask(conn, key))
        elsewhere = await self.connect_elsewhere(home)
        home.sidecar.pause()
        answer = await self.ask(elsewhere, key)
        self.assertEqual(answer.outcome, 'unknown', answer)
        home.sidecar.resume()
        self.assert_saved(await self.ask(elsewhere, key))
        await self.assert_runs(1)
