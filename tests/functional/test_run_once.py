"""A non-idempotent request runs at most once, however often it is asked."""

import asyncio
import unittest

from attrs import evolve

from tests.lib.answers import save_answer
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.load import KEY_HEADER, KEY_PATH
from tests.lib.stream import UNKNOWN

PATH = '/lists/1/edits'
BODY = b'order two copies'
CONNECTS = 30


class RunOnceTest(ClusterTest):
    """Two sidecars; the client asks the one and then the other."""

    plan = evolve(ONE_SERVICE, backend_flags=('--echo',))

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.first = await self.cluster.connect(LISTS)
        self.second = await self._connect_elsewhere()
        issued = await self.first.request('POST', KEY_PATH)
        self.headers = ((KEY_HEADER, issued.body.decode()),)

    async def test_answer_lost_and_asked_again_elsewhere(self):
        await self._set_delay(0.4)
        lost = self.first.open('POST', PATH, self.headers, BODY)
        await self.wait_work()
        await self.cluster.set_faults(cut_clients=[self.first.local_address])
        again = await self._ask(self.second)
        self.assertEqual((again.status, again.body), (201, save_answer(BODY)))
        await self._assert_ran_once()
        lost.cancel()

    async def test_asked_twice_at_the_same_time(self):
        await self._set_delay(0.4)
        both = await asyncio.gather(
            self._ask(self.first),
            self._ask(self.second),
            self._ask(self.second),
        )
        self.assertEqual([each.status for each in both], [201, 201, 201])
        await self._assert_ran_once()

    async def test_asked_again_after_a_planned_stop(self):
        first = await self._ask(self.first)
        self.assertEqual(first.status, 201, first)
        home = self.home(self.first)
        self.assertEqual(await home.sidecar.stop(), 0)
        again = await self._ask(self.second)
        self.assertEqual((again.status, again.body), (201, first.body))
        await self._assert_ran_once()

    async def test_asked_again_after_the_home_died(self):
        await self._set_delay(1.0)
        home = self.home(self.first)
        running = self.first.open('POST', PATH, self.headers, BODY)
        await self.wait_work()
        await home.sidecar.kill()
        again = await self._ask(self.second)
        self.assertEqual(again.outcome, UNKNOWN, again)
        await home.sidecar.start()
        again = await self._ask(self.second)
        self.assertEqual(again.outcome, UNKNOWN, again)
        await self._assert_ran_once()
        running.cancel()

    async def _ask(self, conn):
        return await conn.request('POST', PATH, self.headers, BODY, 8)

    async def _set_delay(self, seconds):
        for instance in self.cluster.instances:
            await instance.set_behavior(delay=seconds)

    async def _connect_elsewhere(self):
        for _ in range(CONNECTS):
            conn = await self.cluster.connect(LISTS)
            if self.home(conn) is not self.home(self.first):
                return conn
        raise AssertionError('all flows went to one endpoint')

    async def _assert_ran_once(self):
        journal = await self.cluster.journal()
        saves = [each for each in journal if each.path == PATH]
        self.assertEqual(len(saves), 1, saves)


if __name__ == '__main__':
    unittest.main()
