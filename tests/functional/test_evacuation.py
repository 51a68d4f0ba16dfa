"""A data centre is evacuated and restored while the system runs.

Guards against open flows that break, new flows in the evacuated data centre,
also by daemons that start or were cut off meanwhile, and callers that wait for
their timeout when no data centre is left.
"""

import asyncio
import json
import time

from dragonflyshift._internal.models import Locality, ServiceRules
from dragonflyshift._internal.models.documents import service_key
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, ClusterPlan, Instance
from tests.lib.commands import run_command
from tests.lib.declarations import ServicePlan
from tests.lib.h3 import H3Client
from tests.lib.waiting import eventually

FLOWS = 12
REFUSAL_SECONDS = 1.0


class EvacuationTest(ClusterTest):
    # Both candidates of a new flow are in the data centre "one" unless it is
    # evacuated.
    plan = ClusterPlan(
        services=(
            ServicePlan(
                LISTS,
                'association',
                endpoints=3,
                data_centers=('one', 'one', 'two'),
                rules=ServiceRules(locality=Locality.DATA_CENTER, slow_start=0),
            ),
        ),
        balancers=2,
    )

    async def evacuate(self, *names: str) -> None:
        await self.cluster.register.change(LISTS, evacuated=names)

    async def wait_for_document(self) -> None:
        version = self.cluster.register.documents[LISTS].version
        key = service_key(LISTS)
        await self.wait_for_version(key, version, self.daemon_addresses())

    async def open_flows(self) -> set[Instance]:
        """Open flows at once and run a request on each; return the owners."""
        flows = await asyncio.gather(
            *(self.cluster.connect(LISTS) for _ in range(FLOWS)),
        )
        for conn in flows:
            await self.assert_served(conn)
        return {self.flow_owner(conn) for conn in flows}

    async def is_restored(self) -> bool:
        owners = await self.open_flows()
        return {each.endpoint.data_center for each in owners} == {'one'}

    async def assert_served(self, conn: H3Client) -> None:
        response = await conn.request('GET', '/lists/1')
        self.assertEqual((response.status, response.failure), (200, ''))

    async def test_open_flows_stay_and_new_ones_go_elsewhere(self) -> None:
        *evacuated, other = self.cluster.instances
        conn = await self.cluster.connect(LISTS)
        self.assertIn(self.flow_owner(conn), evacuated)
        await self.evacuate('one')
        await self.wait_for_document()
        self.assertEqual(await self.open_flows(), {other})
        await self.assert_served(conn)
        balancer = self.cluster.balancers[0]
        logged = {event['message'] for event in balancer.program.events()}
        self.assertIn('data-center-evacuated', logged)
        result = await asyncio.to_thread(
            run_command,
            'status',
            '--json',
            f'--address={balancer.address}',
            f'--fleet-keys={self.plan.fleet_keys}',
        )
        expected = {
            'data_center': 'one',
            'sidecars': [str(each.endpoint.address) for each in evacuated],
            'flows': 1,
            'unreachable': 0,
        }
        self.assertEqual(json.loads(result.output)['evacuated'], [expected])
        await self.evacuate()
        await self.wait_for_document()
        # The state of the restored sidecars reaches balancers with replies.
        await eventually(self.is_restored, what='new flows in "one" alone')
        await self.assert_served(conn)

    async def test_load_while_evacuated_and_restored(self) -> None:
        # One server takes the new flows, and requests of the others' flows.
        async with self.load() as summary:
            for data_centers in (('one',), ()):
                await self.wait_for_requests(
                    len(await self.cluster.journal()) + 20
                )
                await self.evacuate(*data_centers)
                await self.wait_for_document()
        await self.assert_guarantees(summary)
        self.assert_counts(summary, failed_handshakes=0)

    async def test_daemons_that_start_during_an_evacuation(self) -> None:
        started, _evacuated, other = self.cluster.instances
        await self.evacuate('one')
        await self.wait_for_document()
        await started.sidecar.kill()
        await started.sidecar.start()
        await self.cluster.add_balancer()
        self.assertEqual(await self.open_flows(), {other})

    async def test_balancer_that_was_cut_off_during_an_evacuation(self):
        other = self.cluster.instances[-1]
        balancer = self.cluster.balancers[0]
        await self.cluster.remove_balancer(self.cluster.balancers[1])
        # The balancer is stopped while the evacuation is published, and finds
        # the platform down afterwards.
        balancer.program.pause()
        try:
            await self.evacuate('one')
            await self.wait_for_version(
                service_key(LISTS),
                2,
                [each.endpoint.address for each in self.cluster.instances],
            )
            await self.cluster.set_platform_mode('down')
        finally:
            balancer.program.resume()
        self.assertEqual(await self.open_flows(), {other})

    async def test_new_flows_are_refused_at_once_if_all_is_evacuated(self):
        conn = await self.cluster.connect(LISTS)
        await self.evacuate('one', 'two')
        await self.wait_for_document()
        started = time.monotonic()
        # The refusal may arrive before or after the client's handshake ends.
        with self.assertRaisesRegex(ConnectionError, 'closed:2'):
            refused = await self.cluster.connect(LISTS)
            raise ConnectionError(await refused.wait_lost())
        self.assertLess(time.monotonic() - started, REFUSAL_SECONDS)
        await self.assert_served(conn)
        await self.evacuate()
        await self.wait_for_document()
        await self.open_flows()
