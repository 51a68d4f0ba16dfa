"""A save whose home or backend server is gone isn't run again."""

from tests.lib.cluster import Instance
from tests.lib.keyed import BODY, EDIT, IdempotentSaveTest
from tests.lib.load import KEY_HEADER


class AskedAfterLossTest(IdempotentSaveTest):
    """The key's home, or the backend server that ran the save, is gone."""

    async def test_asked_again_after_a_planned_stop(self):
        conn, home, key = await self.open_flow_with_key()
        unused = await self.issue_key(conn)
        running = await self.issue_key(conn)
        self.assert_saved(await self.send_save(conn, key))
        await self.slow_backends()
        conn.open('POST', EDIT, ((KEY_HEADER, running),), BODY)
        await self.wait_for_requests(2)
        elsewhere = await self.connect_to_other_instance(home)
        self.assertEqual(await self.cluster.stop_instance(home), 0)
        self.assert_saved(
            await self.send_save(elsewhere, key),
            await self.send_save(elsewhere, running),
        )
        refused = await self.send_save(elsewhere, unused)
        self.assertEqual(refused.outcome, 'not-run', refused)
        await self.assert_run_count(2)

    async def test_asked_again_after_the_death_of_its_home(self):
        conn, home, key = await self.open_flow_with_key()
        await self.slow_backends()
        conn.open('POST', EDIT, ((KEY_HEADER, key),), BODY)
        await self.wait_for_requests()
        elsewhere = await self.connect_to_other_instance(home)
        await home.sidecar.kill()
        asked = [await self.send_save(elsewhere, key)]
        await home.sidecar.start()
        asked.append(await self.send_save(elsewhere, key))
        for answer in asked:
            self.assertEqual(answer.outcome, 'unknown', answer)
        await self.assert_run_count(1)

    async def test_asked_again_after_its_backend_server_died(self):
        conn, home, key = await self.open_flow_with_key()
        await self.slow_backends()
        first = conn.open('POST', EDIT, ((KEY_HEADER, key),), BODY)
        await self.wait_for_requests()
        runner = await self._runner()
        runner.saved_journal = await runner.journal()
        await runner.backend.kill()
        broken = await first.read_response(timeout=5)
        self.assertEqual(broken.outcome, 'unknown', broken)
        elsewhere = await self.connect_to_other_instance(home)
        again = await self.send_save(elsewhere, key)
        self.assertEqual(again.outcome, 'unknown', again)
        await self.assert_run_count(1)

    async def _runner(self) -> Instance:
        for instance in self.cluster.instances:
            if await instance.journal():
                return instance
        raise AssertionError('nothing has run')
