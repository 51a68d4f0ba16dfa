"""Both sides of a network partition serve requests and recover afterwards.

The side without the key owner has no record of a save's outcome. If it ran a
repeated save, the save would run twice.
"""

import os
import tempfile
from pathlib import Path
from unittest import mock

from tests.lib.cluster import LISTS, ClusterPlan, ServicePlan
from tests.lib.h3 import FlowError, H3Client
from tests.lib.keyed import IdempotentSaveTest
from tests.lib.partition import FLAG, PATH_VARIABLE, write_partition
from tests.lib.waiting import eventually

# Times allowed for all views to change after the end and the start of the
# partition.
HEAL_SECONDS = 12.0
SPLIT_SECONDS = 12.0
REQUESTS = 6


class PartitionTest(IdempotentSaveTest):
    """Each side has one balancer and two instances."""

    plan = ClusterPlan(
        services=(ServicePlan(LISTS, 'association', endpoints=4, slots=3),),
        balancers=2,
        daemon_flags=('--log-level=info', FLAG),
    )

    async def asyncSetUp(self):
        """Start the cluster without a partition."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.sides = Path(directory.name) / 'sides.json'
        write_partition(self.sides)
        environment = {PATH_VARIABLE: str(self.sides)}
        patched = mock.patch.dict(os.environ, environment)
        patched.start()
        self.addCleanup(patched.stop)
        await super().asyncSetUp()

    async def test_sides_stay_consistent_and_recover(self):
        await self._route_only_to_side(0)
        conn, key_owner, key = await self.open_flow_with_key()
        self.assert_saved(await self.send_save(conn, key))
        owner_side = 0 if key_owner in self._instances(0) else 1
        await self._partition()
        # The key owner's side returns the stored response.
        await self._route_only_to_side(owner_side)
        self.assert_saved(
            await self.send_save(await self._connect_to_side(owner_side), key)
        )
        # The other side has no record of the outcome and runs nothing.
        await self._route_only_to_side(1 - owner_side)
        other_conn = await self._connect_to_side(1 - owner_side)
        response = await self.send_save(other_conn, key)
        self.assertEqual(response.outcome, 'unknown', response)
        await self._assert_serves(other_conn)
        write_partition(self.sides)
        await eventually(self._views_are_whole, HEAL_SECONDS, 'views are whole')
        self.assert_saved(await self.send_save(other_conn, key))
        saves = [
            entry
            for entry in await self.cluster.journal()
            if entry.method == 'POST'
        ]
        self.assertEqual(len(saves), 1, saves)

    def _instances(self, side):
        return self.cluster.instances[2 * side : 2 * side + 2]

    def _hosts(self, side):
        endpoints = [each.endpoint for each in self._instances(side)]
        hosts = [endpoint.address.host for endpoint in endpoints]
        return [self.cluster.balancers[side].host, *hosts]

    async def _partition(self):
        write_partition(self.sides, self._hosts(0), self._hosts(1))
        await eventually(
            self._views_are_split, SPLIT_SECONDS, 'views are split'
        )

    async def _route_only_to_side(self, side):
        """Make the fabric send only to the balancer of one side."""
        hosts = [self.cluster.balancers[side].host]
        await self.cluster.fabric_control.put('/control/balancers', hosts)

    async def _connect_to_side(self, side) -> H3Client:
        """Open flows until one belongs to an instance of the given side."""
        while True:
            try:
                conn = await self.cluster.connect(LISTS)
            except FlowError:
                continue
            if self.flow_owner(conn) in self._instances(side):
                return conn
            await conn.aclose()

    async def _assert_serves(self, conn):
        for number in range(REQUESTS):
            response = await conn.request('GET', f'/lists/{number}')
            self.assertTrue(response.complete, response)
            self.assertEqual(response.status, 200, response)

    async def _views_are_split(self) -> bool:
        return await self._member_state_counts() == {('alive', 2), ('dead', 2)}

    async def _views_are_whole(self) -> bool:
        return await self._member_state_counts() == {('alive', 4)}

    async def _member_state_counts(self):
        """Return the distinct (state, count) pairs in all sidecars' views."""
        state_counts = set()
        for instance in self.cluster.instances:
            report = await self.status(instance.endpoint.address)
            states = [member['state'] for member in report['members']]
            state_counts.update((each, states.count(each)) for each in states)
        return state_counts
