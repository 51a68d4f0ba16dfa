"""Spans of all hops form one trace, and daemons send metrics.

A hop that doesn't pass on the trace context leaves spans without a parent.
"""

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
    """Two endpoints have one slot each, so that requests are handed over."""

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

    async def test_one_trace_has_spans_of_each_hop(self):
        conn = await self.cluster.connect(LISTS)
        board = conn.open('GET', '/boards/1')
        await self.wait_for_requests()
        handed_over = await conn.request('GET', '/lists/1')
        self.assertEqual(handed_over.body, answers.list_body(LISTS, '1'))
        self.assertTrue((await board.read_response(5)).complete)
        await conn.aclose()

        async def has_complete_trace() -> bool:
            return any(
                map(self._is_complete_trace, self.collector.traces().values())
            )

        await eventually(has_complete_trace, what='a trace with all hops')
        names = self.sink.names()
        self.assertTrue(any('.balancer.' in each for each in names), names)
        self.assertTrue(any('.sidecar.' in each for each in names), names)

    def _is_complete_trace(self, spans):
        """Return whether a trace has linked spans of three processes."""
        processes = {each.process for each in spans}
        instances = {each.instance for each in spans}
        span_ids = {each.span_id for each in spans}
        orphans = [
            each
            for each in spans
            if each.parent_id and each.parent_id not in span_ids
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
