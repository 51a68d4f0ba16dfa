"""A repeated save isn't run again after its key owner or server stops.

The process that held the outcome stops or is killed before the client sends
the save again, so another sidecar might run it a second time.
"""

from tests.lib.cluster import Instance
from tests.lib.keyed import BODY, EDIT, IdempotentSaveTest
from tests.lib.load import KEY_HEADER


class RepeatedAfterFailureTest(IdempotentSaveTest):
    """The key owner, or the server that ran the save, stops or is killed."""

    async def test_repeated_after_a_planned_stop_of_the_key_owner(self):
        conn, key_owner, key = await self.open_flow_with_key()
        unused_key = await self.issue_key(conn)
        running_key = await self.issue_key(conn)
        self.assert_saved(await self.send_save(conn, key))
        await self.slow_backends()
        conn.open('POST', EDIT, ((KEY_HEADER, running_key),), BODY)
        await self.wait_for_requests(2)
        other_conn = await self.connect_to_other_instance(key_owner)
        self.assertEqual(await self.cluster.stop_instance(key_owner), 0)
        self.assert_saved(
            await self.send_save(other_conn, key),
            await self.send_save(other_conn, running_key),
        )
        refusal = await self.send_save(other_conn, unused_key)
        self.assertEqual(refusal.outcome, 'not-run', refusal)
        await self.assert_run_count(2)

    async def test_repeated_after_the_key_owner_is_killed(self):
        conn, key_owner, key = await self.open_flow_with_key()
        await self.slow_backends()
        conn.open('POST', EDIT, ((KEY_HEADER, key),), BODY)
        await self.wait_for_requests()
        other_conn = await self.connect_to_other_instance(key_owner)
        await key_owner.sidecar.kill()
        responses = [await self.send_save(other_conn, key)]
        await key_owner.sidecar.start()
        responses.append(await self.send_save(other_conn, key))
        for response in responses:
            self.assertEqual(response.outcome, 'unknown', response)
        await self.assert_run_count(1)

    async def test_repeated_after_the_backend_server_is_killed(self):
        conn, key_owner, key = await self.open_flow_with_key()
        await self.slow_backends()
        stream = conn.open('POST', EDIT, ((KEY_HEADER, key),), BODY)
        await self.wait_for_requests()
        executing_instance = await self._find_executing_instance()
        executing_instance.saved_journal = await executing_instance.journal()
        await executing_instance.backend.kill()
        first_response = await stream.read_response(timeout=5)
        self.assertEqual(first_response.outcome, 'unknown', first_response)
        other_conn = await self.connect_to_other_instance(key_owner)
        repeated_response = await self.send_save(other_conn, key)
        self.assertEqual(
            repeated_response.outcome, 'unknown', repeated_response
        )
        await self.assert_run_count(1)

    async def _find_executing_instance(self) -> Instance:
        for instance in self.cluster.instances:
            if await instance.journal():
                return instance
        raise AssertionError('no backend server has run a request')
