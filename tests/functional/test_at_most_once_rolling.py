"""A save is answered again after all instances have been replaced."""

import asyncio

from tests.lib.cluster import LISTS, Instance
from tests.lib.keyed import IdempotentSaveTest


class RollingReplacementTest(IdempotentSaveTest):
    """One instance is replaced as planned, then all others at once."""

    async def test_outcome_outlives_all_first_instances(self):
        conn, home, key = await self.open_flow_with_key()
        self.assert_saved(await self.send_save(conn, key))
        others = [each for each in self.cluster.instances if each is not home]
        await self._replace(home)
        await asyncio.gather(*map(self._replace, others))
        fresh = await self.cluster.connect(LISTS)
        self.assert_saved(await self.send_save(fresh, key))
        await self.assert_run_count(1)

    async def _replace(self, instance: Instance) -> None:
        self.assertEqual(await self.cluster.stop_instance(instance), 0)
        await instance.backend.start()
        await instance.sidecar.start()
