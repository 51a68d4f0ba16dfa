"""A repeated save with an idempotency key returns the stored response.

A client whose response is lost sends the save again, on the same flow or on
another one. Without a check of the key the save would run twice.
"""

import asyncio

from tests.lib.keyed import BODY, EDIT, IdempotentSaveTest
from tests.lib.load import KEY_HEADER


class RepeatedRequestTest(IdempotentSaveTest):
    """The key owner stays alive while the save is repeated."""

    async def test_repeated_after_a_lost_response(self):
        conn, key_owner, key = await self.open_flow_with_key()
        await self.slow_backends()
        conn.open('POST', EDIT, ((KEY_HEADER, key),), BODY)
        await self.wait_for_requests()
        # From here on no response reaches the client.
        conn.mark_lost('cut')
        other_conn = await self.connect_to_other_instance(key_owner)
        while_running = await self.send_save(other_conn, key)
        after_completion = await self.send_save(other_conn, key)
        self.assert_saved(while_running, after_completion)
        await self.assert_run_count(1)

    async def test_sent_concurrently_on_several_flows(self):
        conn, key_owner, key = await self.open_flow_with_key()
        await self.slow_backends()
        flows = [
            conn,
            await self.connect_to_other_instance(key_owner),
            await self.connect_to_other_instance(key_owner),
        ]
        responses = await asyncio.gather(
            *(self.send_save(flow, key) for flow in flows),
        )
        self.assert_saved(*responses)
        await self.assert_run_count(1)

    async def test_repeated_while_the_key_owner_is_paused(self):
        conn, key_owner, key = await self.open_flow_with_key()
        self.assert_saved(await self.send_save(conn, key))
        other_conn = await self.connect_to_other_instance(key_owner)
        key_owner.sidecar.pause()
        response = await self.send_save(other_conn, key)
        self.assertEqual(response.outcome, 'unknown', response)
        key_owner.sidecar.resume()
        self.assert_saved(await self.send_save(other_conn, key))
        await self.assert_run_count(1)
