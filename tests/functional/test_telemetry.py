"""Spans of each hop form one trace; metrics and logs come out."""

import unittest

from attrs import evolve

from tests.lib import answers
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS, ServicePlan
from tests.lib.collector import Collector, StatsdSink
from tests.lib.network import Network
from tests.lib.waiting import eventually

COLLECTOR_PORT = 4318
STATSD_PORT = 8125


class TelemetryTest(ClusterTest):
    """One slot at each of two endpoints, so that requests are handed over."""

    async def asyncSetUp(self):
        network = Network.claim()
        self.addCleanup(network.release)
        self.collector = Collector(network.address(1, COLLECTOR_PORT))
        await self.enterAsyncContext(self.collector)
        statsd = network.address(1, STATSD_PORT)
        self.sink = await StatsdSink.listen(statsd)
        self.addCleanup(self.sink.close)
        service = ServicePlan(LISTS, 'association', endpoints=2, slots=1)
        self.plan = evolve(
            ONE_SERVICE,
            services=(service,),
            daemon_flags=(
                f'--traces={self.collector.url}',
                f'--statsd={statsd}',
            ),
        )
        await super().asyncSetUp()

    async def test_one_trace_shows_each_hop(self):
        conn = await self.cluster.connect(LISTS)
        board = conn.open('GET', '/boards/1')
        await self.wait_for_requests()
        handed = await conn.request('GET', '/lists/1')
        self.assertEqual(handed.body, answers.list_body(LISTS, '1'))
        self.assertTrue((await board.read_response(5)).complete)
        await conn.aclose()

        async def all_hops() -> bool:
            return any(map(self._is_whole, self.collector.traces().values()))

        await eventually(all_hops, what='a trace with all hops')
        names = self.sink.names()
        self.assertTrue(any('.balancer.' in each for each in names), names)
        self.assertTrue(any('.sidecar.' in each for each in names), names)

    def _is_whole(self, spans):
        """Tell whether a trace has spans of three processes, all linked."""
        processes = {each.process for each in spans}
        instances = {each.instance for each in spans}
        known = {each.span_id for each in spans}
        orphans = [
            each
            for each in spans
            if each.parent_id and each.parent_id not in known
        ]
        names = {each.name for each in spans}
        return (
            processes == {'dragonflyshift-balancer', 'dragonflyshift-sidecar'}
            and len(instances) >= 3
            and {'request', 'run-for-peer'} <= names
            and not orphans
        )


if __name__ == '__main__':
    unittest.main()
