"""Two halves of a service, cut off each other, each work on their own."""

import os
import tempfile
from pathlib import Path
from unittest import mock

from tests.lib.cluster import LISTS, ClusterPlan, ServicePlan
from tests.lib.h3 import FlowError, H3Client
from tests.lib.keyed import IdempotentSaveTest
from tests.lib.partition import FLAG, PATH_VARIABLE, write_partition
from tests.lib.waiting import eventually

HEAL_SECONDS = 12.0
SPLIT_SECONDS = 12.0
REQUESTS = 6


class PartitionTest(IdempotentSaveTest):
    """A balancer and two instances on each side."""

    plan = ClusterPlan(
        services=(ServicePlan(LISTS, 'association', endpoints=4, slots=3),),
        balancers=2,
        daemon_flags=('--log-level=info', FLAG),
    )

    async def asyncSetUp(self):
        """Start without a cut."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.sides = Path(folder.name) / 'sides.json'
        write_partition(self.sides)
        variable = {PATH_VARIABLE: str(self.sides)}
        patched = mock.patch.dict(os.environ, variable)
        patched.start()
        self.addCleanup(patched.stop)
        await super().asyncSetUp()

    async def test_each_side_is_right_on_its_own_and_both_heal(self):
        await self._use_side(0)
        conn, home, key = await self.open_flow_with_key()
        self.assert_saved(await self.send_save(conn, key))
        near = 0 if home in self._instances(0) else 1
        await self._cut()
        # The home's side answers from its store.
        await self._use_side(near)
        self.assert_saved(await self.send_save(await self._connect(near), key))
        # The other side can't know, and runs nothing.
        await self._use_side(1 - near)
        far = await self._connect(1 - near)
        answer = await self.send_save(far, key)
        self.assertEqual(answer.outcome, 'unknown', answer)
        await self._assert_serves(far)
        write_partition(self.sides)
        await eventually(self._is_whole, HEAL_SECONDS, 'views are whole')
        self.assert_saved(await self.send_save(far, key))
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

    async def _cut(self):
        write_partition(self.sides, self._hosts(0), self._hosts(1))
        await eventually(self._is_split, SPLIT_SECONDS, 'views are split')

    async def _use_side(self, side):
        """Let the fabric send to the balancer of one side alone."""
        hosts = [self.cluster.balancers[side].host]
        await self.cluster.fabric_control.put('/control/balancers', hosts)

    async def _connect(self, side) -> H3Client:
        """Open a flow, which has to end on the balancer's side."""
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
            answer = await conn.request('GET', f'/lists/{number}')
            self.assertTrue(answer.complete, answer)
            self.assertEqual(answer.status, 200, answer)

    async def _is_split(self) -> bool:
        return await self._states() == {('alive', 2), ('dead', 2)}

    async def _is_whole(self) -> bool:
        return await self._states() == {('alive', 4)}

    async def _states(self):
        """Count the states in all sidecars' views; equal ones once."""
        found = set()
        for instance in self.cluster.instances:
            report = await self.status(instance.endpoint.address)
            states = [member['state'] for member in report['members']]
            found.update((each, states.count(each)) for each in states)
        return found
