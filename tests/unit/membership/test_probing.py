import asyncio
import contextlib
import itertools
import logging
import unittest

from attrs import evolve

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership.greeting import NO_VIEW, Greeting
from dragonflyshift._internal.membership.messages import (
    Ack,
    Probe,
    ProbeVia,
    encode_ack,
    encode_probe,
    encode_probe_via,
)
from dragonflyshift._internal.models import MemberState
from dragonflyshift._internal.wire.datagram import Kind
from tests.lib.members import address_of, build_member
from tests.lib.mesh import FAST, Mesh

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

    async def _complete(self, mesh):
        await self._until(
            lambda: (
                mesh.agreed()
                and len(mesh.nodes[0].table.records()) == len(mesh.nodes)
            ),
        )

    def _refuted(self, mesh):
        return [
            node
            for node in mesh.nodes
            if node.table.own.record.incarnation.epoch
        ]

    def _believed(self, mesh, subject):
        return {
            node.table.state_of(subject.address)
            for node in mesh.nodes
            if node is not subject and not node.frozen
        }

    async def test_views_agree_and_then_no_digest_is_sent(self):
        async with self._mesh(7) as mesh:
            await self._complete(mesh)
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

    async def test_dead_member_is_found_and_its_return_believed(self):
        async with self._mesh(5) as mesh:
            await self._complete(mesh)
            victim = mesh.nodes[2]
            victim.frozen = True
            await self._until(
                lambda: self._believed(mesh, victim) == {MemberState.DEAD},
            )
            victim.frozen = False
            await self._until(
                lambda: self._believed(mesh, victim) == {MemberState.ALIVE},
            )
            self.assertGreater(victim.table.own.record.incarnation.epoch, 0)

    async def test_leaving_is_told_at_once(self):
        mesh = Mesh(7, times=evolve(FAST, turn=60))
        leaver = mesh.nodes[0]
        leaver.start()
        await self._until(lambda: leaver.sent_messages)
        leaver.table.set_own_state(MemberState.LEAVING)
        await self._until(
            lambda: self._believed(mesh, leaver) == {MemberState.LEAVING},
        )
        await leaver.stop()

    async def test_one_exchange_evens_out_both_views(self):
        mesh = Mesh(2)
        one, two = mesh.nodes
        one.table.merge([build_member(8)], 0)
        two.table.merge([build_member(9)], 0)
        one.prober.send_probe(two.address, 1)
        await self._until(mesh.agreed)
        self.assertEqual(len(two.table.records()), 4)
        self.assertEqual((one.sent_messages, two.sent_messages), (2, 1))

    async def test_load_travels_on_acknowledgements(self):
        mesh = Mesh(2)
        one, two = mesh.nodes
        two.table.set_load(3, 5)
        one.prober.send_probe(two.address, 1)
        await self._until(lambda: one.table.record(two.address))
        heard = one.table.record(two.address)
        self.assertEqual((heard.free_slots, heard.queued), (3, 5))

    async def test_only_the_one_asked_can_answer(self):
        mesh = Mesh(1)
        node = mesh.nodes[0]
        sent = []
        mesh.carry = lambda _source, target, kind, _body: sent.append(
            (target, kind),
        )
        node.table.merge([build_member(2)], 0)
        probing = asyncio.create_task(node.prober._probe(address_of(2)))
        await self._until(lambda: sent)
        self._hear_ack(node, 1, 3)
        await probing
        self.assertIs(
            node.table.state_of(address_of(2)),
            MemberState.SUSPECT,
        )
        greeting = Greeting(mesh.tag, 9, build_member(4), NO_VIEW, 1)
        via = ProbeVia(greeting, address_of(2))
        node.prober.handle(
            Kind.PROBE_VIA,
            encode_probe_via(via),
            address_of(4),
            0,
        )
        relayed = (address_of(4), Kind.ACK)
        sequence = node.prober._sequence
        self._hear_ack(node, sequence, 3)
        self.assertNotIn(relayed, sent)
        self._hear_ack(node, sequence, 2)
        self.assertIn(relayed, sent)

    def _hear_ack(self, node, sequence, number):
        greeting = Greeting(7, sequence, build_member(number), NO_VIEW, 1)
        node.prober.handle(
            Kind.ACK,
            encode_ack(Ack(greeting)),
            address_of(number),
            0,
        )

    async def test_verdict_is_dropped_if_a_pause_fell_into_it(self):
        for waited, state in (
            (1, MemberState.SUSPECT),
            (60, MemberState.ALIVE),
        ):
            node = Mesh(1).nodes[0]
            node.table.merge([build_member(2)], 0)
            node.prober._clock = iter((0, waited)).__next__
            await node.prober._probe(address_of(2))
            self.assertIs(node.table.state_of(address_of(2)), state)

    async def test_broken_link_is_bridged_by_others(self):
        async with self._mesh(5) as mesh:
            await self._complete(mesh)
            mesh.partition(mesh.nodes[:1], mesh.nodes[1:2])
            sent = mesh.nodes[0].sent_messages
            await self._until(lambda: mesh.nodes[0].sent_messages > sent + 60)
            self.assertFalse(self._refuted(mesh))

    async def test_partition_leaves_each_side_whole_and_heals(self):
        async with self._mesh(6) as mesh:
            await self._complete(mesh)
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
            # Probes that began before the verdicts have to end first.
            sent = left[0].sent_messages
            await self._until(lambda: left[0].sent_messages > sent + 30)
            mesh.cut.clear()
            await self._until(
                lambda: all(
                    self._believed(mesh, node) == {MemberState.ALIVE}
                    for node in mesh.nodes
                ),
            )

    async def test_lossy_links_kill_nobody_for_good(self):
        async with self._mesh(7, loss=0.2) as mesh:
            await self._complete(mesh)
            sent = mesh.nodes[0].sent_messages
            await self._until(lambda: mesh.nodes[0].sent_messages > sent + 60)
            mesh.loss = 0
            await self._until(
                lambda: all(
                    self._believed(mesh, node) == {MemberState.ALIVE}
                    for node in mesh.nodes
                ),
            )

    async def test_paused_member_suspects_nobody(self):
        async with self._mesh(5) as mesh:
            await self._complete(mesh)
            sleeper = mesh.nodes[0]
            sleeper.prober._clock = _Jumping(sleeper.prober._clock, 60)
            told = []
            sleeper.table.changes.subscribe(told.extend)
            await self._until(lambda: told)
            await self._until(lambda: not sleeper.table.doubtful)
            await self._complete(mesh)
            self.assertEqual(
                [record.state for record in told[:4]],
                list(itertools.repeat(MemberState.SUSPECT, 4)),
            )
            self.assertFalse(self._refuted(mesh))

    async def test_cancelled_while_the_own_record_changes(self):
        node = Mesh(1).nodes[0]
        ended = []
        while len(ended) < 5:
            running = asyncio.create_task(node.prober.run())
            await asyncio.sleep(node.prober.times.announcement_gap * 1.2)
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
            await self._complete(mesh)
            mesh.nodes[1].version = 5
            await self._until(lambda: mesh.nodes[0].pulls)
        self.assertEqual(mesh.nodes[0].pulls[0], (address_of(2), 5))
        self.assertFalse(mesh.nodes[1].pulls)

    async def test_message_of_another_service_is_refused(self):
        node = Mesh(2).nodes[0]
        greeting = Greeting(8, 1, build_member(2), NO_VIEW, 1)
        body = encode_probe(Probe(greeting))
        with self.assertRaises(MembershipError):
            node.prober.handle(Kind.PROBE, body, address_of(2), 0)
        self.assertIsNone(node.table.record(address_of(2)))


class _Jumping:
    """A clock that has jumped ahead, as after a pause."""

    def __init__(self, clock, jump):
        self._clock = clock
        self._jump = jump

    def __call__(self):
        return self._clock() + self._jump
