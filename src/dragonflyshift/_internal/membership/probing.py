"""Failure detection by probes between the members of one service.

A member probes one peer per period, independent of the size of the service, so
its cost is constant. As all members do so, each is also probed once per period
on average. A peer that doesn't acknowledge a probe is probed indirectly through
other members, then suspected, and declared dead unless it refutes the suspicion
in time.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack

from attrs import define, evolve, frozen

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership import messages
from dragonflyshift._internal.membership.digest import MAX_COUNTER
from dragonflyshift._internal.membership.exchange import ViewExchange
from dragonflyshift._internal.membership.indirect_probes import IndirectProbes
from dragonflyshift._internal.membership.table import MemberTable
from dragonflyshift._internal.models import Address, MemberRecord
from dragonflyshift._internal.utils.pause import PauseDetector
from dragonflyshift._internal.wire.datagram import DatagramKind

# The sequence number of an acknowledgement that answers no probe. It only
# carries records and isn't answered.
UNSOLICITED_SEQUENCE = 0

logger = logging.getLogger(__name__)


@frozen
class ProbeParameters:
    """The timing of probes, in seconds, and the numbers of peers involved.

    ``period`` is the average time between the starts of two periods; a change
    of the own record ends a period early. A peer has ``direct_timeout`` to
    acknowledge a probe. Then indirect probes are requested, and it has
    another ``indirect_timeout`` until it is suspected.

    If a period begins more than ``pause_limit`` after the previous one, the
    process was paused. A failed probe that took more than ``pause_limit``
    longer than its timeouts is ignored for the same reason. ``indirect_probes``
    is the number of members that receive an indirect probe request for an
    unresponsive peer. A change of the own record is sent immediately to
    ``announcement_peers`` peers, at most once per ``announcement_interval``.
    """

    period: float = 0.5
    direct_timeout: float = 0.3
    indirect_timeout: float = 0.6
    pause_limit: float = 1.5
    indirect_probes: int = 2
    announcement_peers: int = 8
    announcement_interval: float = 0.2


DEFAULT_PARAMETERS = ProbeParameters()


def _ignore_version(_member: Address, _version: int) -> None:
    """Ignore a higher version."""


@define(eq=False)
class _Pending:
    """A probe that waits for its acknowledgement."""

    peer: Address
    acknowledged: asyncio.Event


class Prober:
    """Probes peers, acknowledges their probes and updates the table.

    ``peers`` returns the configured members, with or without the process
    itself. ``send`` must neither block nor raise. ``tag`` identifies the
    service in messages. ``version`` returns the version of the service
    document in use, and ``on_version`` is called with the address and version
    of a member that reports a higher one. Besides the task of ``run``
    there is one task for each peer that is being probed.
    """

    def __init__(
        self,
        table: MemberTable,
        peers: Callable[[], Sequence[Address]],
        send: Callable[[Address, DatagramKind, bytes], None],
        rng: random.Random,
        *,
        tag: int = 0,
        version: Callable[[], int] = int,
        on_version: Callable[[Address, int], None] = _ignore_version,
        clock: Callable[[], float] = time.monotonic,
        parameters: ProbeParameters = DEFAULT_PARAMETERS,
    ) -> None:
        """Create a prober; ``run`` starts to probe."""
        self._exchange = ViewExchange(table, tag, rng, version, on_version)
        self.table = table
        self._peers = peers
        self._send = send
        self._rng = rng
        self._clock = clock
        self.parameters = parameters
        self._sequence = UNSOLICITED_SEQUENCE
        self._unprobed_peers: list[Address] = []
        self._own_changed = asyncio.Event()
        self._pending: dict[int, _Pending] = {}
        self._indirect_probes = IndirectProbes()

    def handle(
        self,
        kind: DatagramKind,
        body: bytes,
        sender_address: Address,
        now: float,
    ) -> None:
        """Process a message that was received from ``sender_address``.

        Raises MembershipError if it is malformed or from another service.
        """
        if kind is DatagramKind.PROBE:
            self._handle_probe(messages.decode_probe(body), sender_address, now)
        elif kind is DatagramKind.ACK:
            self._handle_ack(messages.decode_ack(body), now)
        elif kind is DatagramKind.PROBE_VIA:
            self._handle_indirect_request(
                messages.decode_indirect_request(body), now
            )
        else:
            raise MembershipError(f'{kind.name} is not a membership message')

    async def run(self) -> None:
        """Probe peers until the task is cancelled."""
        pauses = PauseDetector(self.parameters.pause_limit)
        with self.table.changes.subscribe(self._on_change):
            async with asyncio.TaskGroup() as tasks:
                while True:
                    self._start_period(tasks, pauses)
                    await self._wait_for_period()

    def _on_change(self, changed: tuple[MemberRecord, ...]) -> None:
        if self._exchange.own.record in changed:
            self._own_changed.set()

    def _start_period(
        self,
        tasks: asyncio.TaskGroup,
        pauses: PauseDetector,
    ) -> None:
        now = self._clock()
        pause = pauses.observe(now)
        if pause:
            logger.warning('view-outdated', extra={'pause': round(pause, 3)})
            self.table.mark_records_outdated(now)
        for record in self.table.declare_suspects_dead(now):
            logger.info('member-dead', extra={'member': str(record.address)})
        for peer in self._next_peers():
            tasks.create_task(self._probe(peer))

    async def _wait_for_period(self) -> None:
        interval = self.parameters.announcement_interval
        await asyncio.sleep(interval)
        period = self.parameters.period * self._rng.uniform(0.9, 1.1)
        await _is_set_within(self._own_changed, period - interval)

    def _next_peers(self) -> list[Address]:
        """Return one peer, or several if the own record has changed."""
        configured_peers = self._other_peers(self._exchange.own.record.address)
        if self._own_changed.is_set():
            self._own_changed.clear()
            count = min(
                len(configured_peers), self.parameters.announcement_peers
            )
            return self._rng.sample(configured_peers, count)
        configured = set(configured_peers)
        self._unprobed_peers = [
            peer for peer in self._unprobed_peers if peer in configured
        ]
        if not self._unprobed_peers:
            self._unprobed_peers = self._rng.sample(
                configured_peers, len(configured_peers)
            )
        return [self._unprobed_peers.pop()] if self._unprobed_peers else []

    def _other_peers(self, *excluded: Address) -> list[Address]:
        return [peer for peer in self._peers() if peer not in excluded]

    async def _probe(self, peer: Address) -> None:
        started_at = self._clock()
        sequence = self._next_sequence()
        pending = _Pending(peer, asyncio.Event())
        self._pending[sequence] = pending
        with ExitStack() as cleanup:
            cleanup.callback(self._pending.pop, sequence)
            acknowledged = await self._request_ack(pending, sequence)
        now = self._clock()
        time_limit = (
            self.parameters.direct_timeout
            + self.parameters.indirect_timeout
            + self.parameters.pause_limit
        )
        if not acknowledged and now - started_at <= time_limit:
            self._suspect(peer, now)

    async def _request_ack(self, pending: _Pending, sequence: int) -> bool:
        self.send_probe(pending.peer, sequence)
        if await _is_set_within(
            pending.acknowledged, self.parameters.direct_timeout
        ):
            return True
        own = self._exchange.own.record.address
        candidates = self._other_peers(own, pending.peer)
        count = min(len(candidates), self.parameters.indirect_probes)
        request = messages.encode_indirect_request(
            messages.IndirectProbeRequest(
                self._exchange.build_header(sequence), pending.peer
            ),
        )
        for prober_peer in self._rng.sample(candidates, count):
            self._send(prober_peer, DatagramKind.PROBE_VIA, request)
        return await _is_set_within(
            pending.acknowledged, self.parameters.indirect_timeout
        )

    def _suspect(self, peer: Address, now: float) -> None:
        self.table.suspect(peer, now)
        record = self.table.record(peer)
        if record is None:
            return
        logger.info('member-suspected', extra={'member': str(peer)})
        self.send_probe(peer, self._next_sequence(), (record,))

    def send_probe(
        self,
        peer: Address,
        sequence: int,
        records: tuple[MemberRecord, ...] = (),
    ) -> None:
        """Send a probe without waiting for its acknowledgement."""
        probe = messages.Probe(self._exchange.build_header(sequence), records)
        self._send(peer, DatagramKind.PROBE, messages.encode_probe(probe))

    def _send_ack(
        self,
        peer: Address,
        sequence: int,
        records: tuple[MemberRecord, ...],
    ) -> None:
        ack = messages.Ack(self._exchange.build_header(sequence), records)
        self._send(peer, DatagramKind.ACK, messages.encode_ack(ack))

    def _handle_probe(
        self,
        probe: messages.Probe,
        sender_address: Address,
        now: float,
    ) -> None:
        header = probe.header
        self._exchange.receive(header, probe.records, now)
        records = self._exchange.missing_records(header)
        self._send_ack(sender_address, header.sequence, records)

    def _handle_ack(self, ack: messages.Ack, now: float) -> None:
        header = ack.header
        sender = header.sender
        self._exchange.receive(header, ack.records, now)
        self.table.update_load(
            sender.address,
            sender.free_slots,
            sender.queued,
            now,
        )
        if header.sequence == UNSOLICITED_SEQUENCE:
            return
        self._forward_ack(ack)
        pending = self._pending.get(header.sequence)
        if pending and pending.peer == sender.address:
            pending.acknowledged.set()
        records = self._exchange.missing_records(header)
        if records:
            self._send_ack(sender.address, UNSOLICITED_SEQUENCE, records)

    def _handle_indirect_request(
        self, request: messages.IndirectProbeRequest, now: float
    ) -> None:
        header = request.header
        self._exchange.receive(header, (), now)
        sequence = self._next_sequence()
        self._indirect_probes.add(request, sequence)
        self.send_probe(request.target, sequence)

    def _forward_ack(self, ack: messages.Ack) -> None:
        indirect_probe = self._indirect_probes.pop(ack)
        if indirect_probe is None:
            return
        header = evolve(ack.header, sequence=indirect_probe.sequence)
        body = messages.encode_ack(messages.Ack(header))
        self._send(indirect_probe.requester, DatagramKind.ACK, body)

    def _next_sequence(self) -> int:
        self._sequence = self._sequence % MAX_COUNTER + 1
        return self._sequence


async def _is_set_within(event: asyncio.Event, seconds: float) -> bool:
    """Return whether an event is set within a number of seconds.

    ``asyncio.wait_for`` can't be used: before Python 3.12 it swallows a
    cancellation that arrives at the same time as the event, and the loop of
    ``run`` would never end.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
