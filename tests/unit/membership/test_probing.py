"""Tests of failure detection with probers in memory.

They guard against failures that stay undetected, and against live members that
are declared dead after packet loss, a broken link or a pause.
"""

import asyncio
import contextlib
import itertools
import logging
import unittest

from attrs import evolve

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership.header import (
    NO_VIEW_HASH,
    MessageHeader,
)
from dragonflyshift._internal.membership.messages import (
    Ack,
    IndirectProbeRequest,
    Probe,
    encode_ack,
    encode_indirect_request,
    encode_probe,
)
from dragonflyshift._internal.models import MemberState
from dragonflyshift._internal.wire.datagram import DatagramKind
from tests.lib.members import address_of, build_member
from tests.lib.mesh import FAST_PARAMETERS, Mesh

WAIT_S = 8


class ProbingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    @contextlib.asynccontextmanager
    async def _mesh(self, size, **options):
        mesh = Mesh(size, **options)
        for node in mesh.nodes:
            node.start()
        try:
            yield mesh
        finally:
            await asyncio.gather(*(node.stop() for node in mesh.nodes))

    async def _until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.005)

    async def _until_views_agree(self, mesh):
        await self._until(
            lambda: (
                mesh.views_agree()
                and len(mesh.nodes[0].table.records()) == len(mesh.nodes)
            ),
        )

    def _refuting_nodes(self, mesh):
        return [
            node
            for node in mesh.nodes
            if node.table.own.record.incarnation.epoch
        ]

    def _reported_states(self, mesh, member):
        return {
            node.table.state_of(member.address)
            for node in mesh.nodes
            if node is not member and not node.frozen
        }

    async def test_no_digest_is_sent_once_the_views_agree(self):
        async with self._mesh(7) as mesh:
            await self._until_views_agree(mesh)
            before = [node.sent_bytes for node in mesh.nodes]
            messages = [node.sent_messages for node in mesh.nodes]
            await self._until(
                lambda: mesh.nodes[0].sent_messages > messages[0] + 20,
            )
        for node, sent, count in zip(
            mesh.nodes,
            before,
            messages,
            strict=True,
        ):
            mean = (node.sent_bytes - sent) / (node.sent_messages - count)
            self.assertLess(mean, 130)

    async def test_dead_member_is_detected_and_its_return_too(self):
        async with self._mesh(5) as mesh:
            await self._until_views_agree(mesh)
            dead_node = mesh.nodes[2]
            dead_node.frozen = True
            await self._until(
                lambda: (
                    self._reported_states(mesh, dead_node) == {MemberState.DEAD}
                ),
            )
            dead_node.frozen = False
            await self._until(
                lambda: (
                    self._reported_states(mesh, dead_node)
                    == {MemberState.ALIVE}
                ),
            )
            self.assertGreater(dead_node.table.own.record.incarnation.epoch, 0)

    async def test_leaving_is_announced_immediately(self):
        mesh = Mesh(7, parameters=evolve(FAST_PARAMETERS, period=60))
        leaving_node = mesh.nodes[0]
        leaving_node.start()
        await self._until(lambda: leaving_node.sent_messages)
        leaving_node.table.set_own_state(MemberState.LEAVING)
        await self._until(
            lambda: (
                self._reported_states(mesh, leaving_node)
                == {MemberState.LEAVING}
            ),
        )
        await leaving_node.stop()

    async def test_one_exchange_merges_both_views(self):
        mesh = Mesh(2)
        one, two = mesh.nodes
        one.table.merge([build_member(8)], 0)
        two.table.merge([build_member(9)], 0)
        one.prober.send_probe(two.address, 1)
        await self._until(mesh.views_agree)
        self.assertEqual(len(two.table.records()), 4)
        self.assertEqual((one.sent_messages, two.sent_messages), (2, 1))

    async def test_acknowledgements_carry_the_load(self):
        mesh = Mesh(2)
        one, two = mesh.nodes
        two.table.set_own_load(3, 5)
        one.prober.send_probe(two.address, 1)
        await self._until(lambda: one.table.record(two.address))
        loaded = one.table.record(two.address)
        self.assertEqual((loaded.free_slots, loaded.queued), (3, 5))

    async def test_only_the_probed_member_can_acknowledge(self):
        mesh = Mesh(1)
        node = mesh.nodes[0]
        sent = []
        mesh.deliver = lambda _source, target, kind, _body: sent.append(
            (target, kind),
        )
        node.table.merge([build_member(2)], 0)
        probe_task = asyncio.create_task(node.prober._probe(address_of(2)))
        await self._until(lambda: sent)
        self._receive_ack(node, 1, 3)
        await probe_task
        self.assertIs(
            node.table.state_of(address_of(2)),
            MemberState.SUSPECT,
        )
        header = MessageHeader(mesh.tag, 9, build_member(4), NO_VIEW_HASH, 1)
        request = IndirectProbeRequest(header, address_of(2))
        node.prober.handle(
            DatagramKind.PROBE_VIA,
            encode_indirect_request(request),
            address_of(4),
            0,
        )
        forwarded_ack = (address_of(4), DatagramKind.ACK)
        sequence = node.prober._sequence
        self._receive_ack(node, sequence, 3)
        self.assertNotIn(forwarded_ack, sent)
        self._receive_ack(node, sequence, 2)
        self.assertIn(forwarded_ack, sent)

    def _receive_ack(self, node, sequence, number):
        header = MessageHeader(
            7, sequence, build_member(number), NO_VIEW_HASH, 1
        )
        node.prober.handle(
            DatagramKind.ACK,
            encode_ack(Ack(header)),
            address_of(number),
            0,
        )

    async def test_probe_result_is_ignored_after_a_pause(self):
        for elapsed, state in (
            (1, MemberState.SUSPECT),
            (60, MemberState.ALIVE),
        ):
            node = Mesh(1).nodes[0]
            node.table.merge([build_member(2)], 0)
            node.prober._clock = iter((0, elapsed)).__next__
            await node.prober._probe(address_of(2))
            self.assertIs(node.table.state_of(address_of(2)), state)

    async def test_indirect_probes_bypass_a_broken_link(self):
        async with self._mesh(5) as mesh:
            await self._until_views_agree(mesh)
            mesh.partition(mesh.nodes[:1], mesh.nodes[1:2])
            sent = mesh.nodes[0].sent_messages
            await self._until(lambda: mesh.nodes[0].sent_messages > sent + 60)
            self.assertFalse(self._refuting_nodes(mesh))

    async def test_partition_keeps_each_side_alive_and_heals(self):
        async with self._mesh(6) as mesh:
            await self._until_views_agree(mesh)
            left, right = mesh.nodes[:3], mesh.nodes[3:]
            mesh.partition(left, right)
            await self._until(
                lambda: all(
                    one.table.state_of(other.address) is MemberState.DEAD
                    for one, other in (
                        *itertools.product(left, right),
                        *itertools.product(right, left),
                    )
                ),
            )
            for node in left:
                self.assertIs(
                    left[0].table.state_of(node.address),
                    MemberState.ALIVE,
                )
            # Wait for the probes that began before the members were dead.
            sent = left[0].sent_messages
            await self._until(lambda: left[0].sent_messages > sent + 30)
            mesh.blocked_links.clear()
            await self._until(
                lambda: all(
                    self._reported_states(mesh, node) == {MemberState.ALIVE}
                    for node in mesh.nodes
                ),
            )

    async def test_packet_loss_leaves_no_member_dead(self):
        async with self._mesh(7, loss=0.2) as mesh:
            await self._until_views_agree(mesh)
            sent = mesh.nodes[0].sent_messages
            await self._until(lambda: mesh.nodes[0].sent_messages > sent + 60)
            mesh.loss = 0
            await self._until(
                lambda: all(
                    self._reported_states(mesh, node) == {MemberState.ALIVE}
                    for node in mesh.nodes
                ),
            )

    async def test_paused_member_spreads_no_suspicion(self):
        async with self._mesh(5) as mesh:
            await self._until_views_agree(mesh)
            paused_node = mesh.nodes[0]
            paused_node.prober._clock = _JumpingClock(
                paused_node.prober._clock, 60
            )
            changes = []
            paused_node.table.changes.subscribe(changes.extend)
            await self._until(lambda: changes)
            await self._until(
                lambda: not paused_node.table.has_outdated_records
            )
            await self._until_views_agree(mesh)
            self.assertEqual(
                [record.state for record in changes[:4]],
                list(itertools.repeat(MemberState.SUSPECT, 4)),
            )
            self.assertFalse(self._refuting_nodes(mesh))

    async def test_run_can_be_cancelled_while_the_own_record_changes(self):
        node = Mesh(1).nodes[0]
        ended = []
        while len(ended) < 5:
            running = asyncio.create_task(node.prober.run())
            await asyncio.sleep(
                node.prober.parameters.announcement_interval * 1.2
            )
            old = node.table.own.record.state
            changed = {MemberState.ALIVE, MemberState.LEAVING} - {old}
            node.table.set_own_state(changed.pop())
            await asyncio.sleep(0)
            running.cancel()
            done, _pending = await asyncio.wait((running,), timeout=1)
            ended.append(bool(done))
        self.assertTrue(all(ended))

    async def test_higher_version_is_reported(self):
        async with self._mesh(3) as mesh:
            await self._until_views_agree(mesh)
            mesh.nodes[1].version = 5
            await self._until(lambda: mesh.nodes[0].reported_versions)
        self.assertEqual(mesh.nodes[0].reported_versions[0], (address_of(2), 5))
        self.assertFalse(mesh.nodes[1].reported_versions)

    async def test_message_of_another_service_is_refused(self):
        node = Mesh(2).nodes[0]
        header = MessageHeader(8, 1, build_member(2), NO_VIEW_HASH, 1)
        body = encode_probe(Probe(header))
        with self.assertRaises(MembershipError):
            node.prober.handle(DatagramKind.PROBE, body, address_of(2), 0)
        self.assertIsNone(node.table.record(address_of(2)))


class _JumpingClock:
    """A clock that is ahead by ``jump`` seconds, as after a pause."""

    def __init__(self, clock, jump):
        self._clock = clock
        self._jump = jump

    def __call__(self):
        return self._clock() + self._jump
