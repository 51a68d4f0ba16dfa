"""A stored response survives the replacement of all instances.

The response would be lost if stopping sidecars didn't pass it on, and a
repeated save would then fail or run twice.
"""

import asyncio

from tests.lib.cluster import LISTS, Instance
from tests.lib.keyed import IdempotentSaveTest


class RollingReplacementTest(IdempotentSaveTest):
    """The key owner is replaced first, then all other instances at once."""

    async def test_response_survives_replacement_of_all_instances(self):
        conn, key_owner, key = await self.open_flow_with_key()
        self.assert_saved(await self.send_save(conn, key))
        others = [
            each for each in self.cluster.instances if each is not key_owner
        ]
        await self._replace(key_owner)
        await asyncio.gather(*map(self._replace, others))
        new_conn = await self.cluster.connect(LISTS)
        self.assert_saved(await self.send_save(new_conn, key))
        await self.assert_run_count(1)

    async def _replace(self, instance: Instance) -> None:
        self.assertEqual(await self.cluster.stop_instance(instance), 0)
        await instance.backend.start()
        await instance.sidecar.start()
