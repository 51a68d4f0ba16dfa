"""A save that is asked for again is answered again, not run again."""

import asyncio

from tests.lib.keyed import BODY, EDIT, IdempotentSaveTest
from tests.lib.load import KEY_HEADER


class AskedAgainTest(IdempotentSaveTest):
    """The key's home lives on."""

    async def test_asked_again_after_a_lost_answer(self):
        conn, home, key = await self.open_flow_with_key()
        await self.slow_backends()
        conn.open('POST', EDIT, ((KEY_HEADER, key),), BODY)
        await self.wait_for_requests()
        # The client goes silent: no answer reaches it any more.
        conn.mark_lost('cut')
        elsewhere = await self.connect_to_other_instance(home)
        running = await self.send_save(elsewhere, key)
        stored = await self.send_save(elsewhere, key)
        self.assert_saved(running, stored)
        await self.assert_run_count(1)

    async def test_asked_twice_at_the_same_time(self):
        conn, home, key = await self.open_flow_with_key()
        await self.slow_backends()
        flows = [
            conn,
            await self.connect_to_other_instance(home),
            await self.connect_to_other_instance(home),
        ]
        asked = await asyncio.gather(
            *(self.send_save(flow, key) for flow in flows),
        )
        self.assert_saved(*asked)
        await self.assert_run_count(1)

    async def test_asked_again_while_its_home_is_frozen(self):
        conn, home, key = await self.open_flow_with_key()
        self.assert_saved(await self.send_save(conn, key))
        elsewhere = await self.connect_to_other_instance(home)
        home.sidecar.pause()
        answer = await self.send_save(elsewhere, key)
        self.assertEqual(answer.outcome, 'unknown', answer)
        home.sidecar.resume()
        self.assert_saved(await self.send_save(elsewhere, key))
        await self.assert_run_count(1)
