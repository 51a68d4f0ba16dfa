"""Packets for one service are never processed by another one.

They could be when an address is reassigned, a connection ID belongs to
another service, or datagrams are forged, truncated or replayed.
"""

import asyncio
import random
import unittest

from dragonflyshift._internal.config.validation import service_tag
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire import DatagramCodec, ForwardEnvelope
from dragonflyshift._internal.wire.datagram import DatagramKind
from dragonflyshift._internal.wire.keys import FleetKeys
from tests.lib import answers
from tests.lib.cases import ClusterTest
from tests.lib.cluster import LISTS, PARTS, ClusterPlan
from tests.lib.packets import PACKET_BYTES, open_socket, short_packet
from tests.lib.successor import reassign_address
from tests.lib.waiting import eventually

SEED = 11
FOREIGN_KEYS = f'1:{"00" * 32}'
DATAGRAMS = 300


class WrongServiceTest(ClusterTest):
    """Two services behind two balancers."""

    plan = ClusterPlan(balancers=2)

    async def test_address_reassigned_to_another_service(self):
        cluster = self.cluster
        conn = await cluster.connect(LISTS)
        self.assertTrue((await conn.request('GET', '/lists/1')).complete)
        reassigned = self.flow_owner(conn)
        await reassign_address(cluster, reassigned, PARTS)
        response = await conn.request('GET', '/lists/2', timeout=2)
        self.assertFalse(response.complete, response)
        self.assertEqual(await reassigned.journal(), [])
        new_conn = await cluster.connect(LISTS)
        response = await new_conn.request('GET', '/lists/3')
        self.assertEqual(response.body, answers.list_body(LISTS, '3'))
        async with self.load(
            cluster.target(LISTS, {'list': 1}, 3),
            cluster.target(PARTS, {'list': 1, 'ticket': 1}, 6),
        ) as summary:
            await asyncio.sleep(1)
        await self.assert_guarantees(summary)

    async def test_connection_id_of_another_service(self):
        conn = await self.cluster.connect(LISTS)
        self.assertTrue((await conn.request('GET', '/lists/1')).complete)
        runs_before = len(await self.cluster.journal())
        with open_socket(self.cluster.network.host(4)) as sender:
            packet = short_packet(conn.peer_connection_id)
            for _ in range(DATAGRAMS):
                sender.sendto(packet, self.cluster.address(PARTS).pair)
            await self._wait_dropped('foreign-id')
            with self.assertRaises(BlockingIOError):
                sender.recv(PACKET_BYTES)
        self.assertEqual(len(await self.cluster.journal()), runs_before)
        self.assertTrue((await conn.request('GET', '/lists/2')).complete)

    async def test_forged_truncated_and_replayed_datagrams(self):
        rng = random.Random(SEED)
        async with self.load(
            self.cluster.target(LISTS, {'list': 3, 'edit': 1}, 3),
            self.cluster.target(PARTS, {'list': 3, 'ticket': 1}, 3),
        ) as summary:
            await self.wait_for_requests(10)
            await self._send_invalid_datagrams(rng)
            await asyncio.sleep(0.5)
        await self.assert_guarantees(summary)
        for daemon in self.daemon_addresses():
            dropped = _dropped(await self.status(daemon), 'unauthentic')
            self.assertGreater(dropped, 0)

    async def _send_invalid_datagrams(self, rng):
        with open_socket(self.cluster.network.host(4)) as sender:
            for target in self._targets():
                for datagram in self._datagrams(rng):
                    sender.sendto(datagram, target.pair)
                await asyncio.sleep(0.05)

    def _targets(self) -> list[Address]:
        """Return the service addresses and the addresses of all daemons."""
        services = [self.cluster.address(LISTS), self.cluster.address(PARTS)]
        return [*services, *self.daemon_addresses()]

    def _datagrams(self, rng):
        """Yield random, foreign, truncated, invalid and repeated datagrams."""
        valid_codec = DatagramCodec(FleetKeys.parse(self.plan.fleet_keys))
        foreign_codec = DatagramCodec(FleetKeys.parse(FOREIGN_KEYS))
        for _ in range(DATAGRAMS // 10):
            body = self._forward(rng).encode()
            yield rng.randbytes(rng.randrange(1, 1400))
            yield foreign_codec.seal(DatagramKind.FORWARD, body)
            sealed = valid_codec.seal(DatagramKind.FORWARD, body)
            yield sealed[: rng.randrange(len(sealed))]
            yield valid_codec.seal(DatagramKind.REPLY, rng.randbytes(40))
            yield sealed
            yield sealed

    def _forward(self, rng) -> ForwardEnvelope:
        local_address = self.cluster.network.address(4, 9)
        return ForwardEnvelope(
            tag=service_tag(rng.choice((LISTS, PARTS, 'exports'))),
            client=local_address,
            service=self.cluster.address(LISTS),
            balancer=local_address,
            packet=short_packet(rng.randbytes(17)),
        )

    async def _wait_dropped(self, reason: str) -> None:
        async def dropped() -> bool:
            balancers = [each.address for each in self.cluster.balancers]
            reports = [await self.status(each) for each in balancers]
            return all(_dropped(each, reason) for each in reports)

        await eventually(dropped, what=f'both balancers dropped: {reason}')


def _dropped(report, reason: str) -> float:
    """Return how many datagrams a daemon dropped for the given reason."""
    role = report['role']
    name = f'dragonflyshift.{role}.dropped.{reason}'
    return report['counters'].get(name, 0)


if __name__ == '__main__':
    unittest.main()
