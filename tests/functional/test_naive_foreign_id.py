"""Packets with connection IDs of another service, in the naive version.

Balancers that steer by a flow table don't check the service of the ID, so
the packets reach a sidecar of the wrong service.

The same steps against the product are in ``test_wrong_service``.
"""

import unittest

from bench.naive import NAIVE_FLAGS
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, PARTS, ClusterPlan
from tests.lib.packets import open_socket, short_packet
from tests.lib.waiting import eventually

DATAGRAMS = 50


class NaiveForeignIdTest(ClusterTest):
    """Packets of one service's flow arrive at the address of another."""

    plan = ClusterPlan(
        balancers=2,
        daemon_flags=(*ClusterPlan().daemon_flags, *NAIVE_FLAGS),
    )

    async def test_naive_version_forwards_foreign_packets(self):
        cluster = self.cluster
        conn = await cluster.connect(LISTS)
        packet = short_packet(conn.peer_connection_id)
        with open_socket(cluster.network.host(4)) as sender:
            for _ in range(DATAGRAMS):
                sender.sendto(packet, cluster.address(PARTS).pair)
            await eventually(
                self._sidecar_has_dropped_packets, what='packets at PARTS'
            )
        for balancer in cluster.balancers:
            counters = (await self.status(balancer.address))['counters']
            name = 'dragonflyshift.balancer.dropped.foreign-id'
            self.assertEqual(counters.get(name, 0), 0)

    async def _sidecar_has_dropped_packets(self) -> bool:
        name = 'dragonflyshift.sidecar.dropped.foreign-id'
        for instance in self.cluster.instances_of(PARTS):
            report = await self.status(instance.endpoint.address)
            if report['counters'].get(name, 0) > 0:
                return True
        return False


if __name__ == '__main__':
    unittest.main()
