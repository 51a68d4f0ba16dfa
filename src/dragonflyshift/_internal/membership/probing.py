"""Probing of the members of one service by each other.

A member probes one peer a turn, whatever the size of the service, so its
cost is constant; as each member does so, each is probed once a turn too. One
that does not answer is asked through others, then suspected, and is declared
dead unless it refutes in time.
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
from dragonflyshift._internal.membership.exchange import Exchange
from dragonflyshift._internal.membership.relays import Relays
from dragonflyshift._internal.membership.table import MemberTable
from dragonflyshift._internal.models import Address, MemberRecord
from dragonflyshift._internal.utils.pause import PauseDetector
from dragonflyshift._internal.wire.datagram import Kind

PUSH_SEQUENCE = 0

logger = logging.getLogger(__name__)


@frozen
class ProbeTimes:
    """Durations in seconds and counts of probing.

    A turn that begins more than ``pause`` after the one before it means that
    the process was paused; a verdict that took more than ``pause`` longer
    than its timeouts is dropped for the same reason. A change of the own
    record is told at once to ``announcements`` peers, but not again before
    ``announcement_gap``.
    """

    turn: float = 0.5
    direct: float = 0.3
    indirect: float = 0.6
    pause: float = 1.5
    helpers: int = 2
    announcements: int = 8
    announcement_gap: float = 0.2


DEFAULT_TIMES = ProbeTimes()


def _ignore_version(_member: Address, _version: int) -> None:
    """Do nothing about a higher version."""


@define(eq=False)
class _Pending:
    """A probe that waits for its answer."""

    peer: Address
    answered: asyncio.Event


class Prober:
    """Probe peers, answer them, and keep the table up to date.

    ``peers`` returns the members that the configuration names, the process
    itself excluded or not. ``send`` must neither block nor raise. Besides
    the loop of ``run`` there is one task for each peer that is being probed.
    """

    def __init__(
        self,
        table: MemberTable,
        peers: Callable[[], Sequence[Address]],
        send: Callable[[Address, Kind, bytes], None],
        rng: random.Random,
        *,
        tag: int = 0,
        version: Callable[[], int] = int,
        on_version: Callable[[Address, int], None] = _ignore_version,
        clock: Callable[[], float] = time.monotonic,
        times: ProbeTimes = DEFAULT_TIMES,
    ) -> None:
        """Probe nobody yet."""
        self._exchange = Exchange(table, tag, rng, version, on_version)
        self.table = table
        self._peers = peers
        self._send = send
        self._rng = rng
        self._clock = clock
        self.times = times
        self._sequence = PUSH_SEQUENCE
        self._round: list[Address] = []
        self._own_changed = asyncio.Event()
        self._pending: dict[int, _Pending] = {}
        self._relays = Relays()

    def handle(
        self,
        kind: Kind,
        body: bytes,
        sender_address: Address,
        now: float,
    ) -> None:
        """Take in a message that arrived from ``sender_address``.

        Raises MembershipError when it is malformed or of another service.
        """
        if kind is Kind.PROBE:
            self._handle_probe(messages.decode_probe(body), sender_address, now)
        elif kind is Kind.ACK:
            self._handle_ack(messages.decode_ack(body), now)
        elif kind is Kind.PROBE_VIA:
            self._handle_via(messages.decode_probe_via(body), now)
        else:
            raise MembershipError(f'{kind.name} is no message of membership')

    async def run(self) -> None:
        """Probe for as long as the task lives."""
        pauses = PauseDetector(self.times.pause)
        with self.table.changes.subscribe(self._notice):
            async with asyncio.TaskGroup() as tasks:
                while True:
                    self._take_turn(tasks, pauses)
                    await self._wait()

    def _notice(self, changed: tuple[MemberRecord, ...]) -> None:
        if self._exchange.own.record in changed:
            self._own_changed.set()

    def _take_turn(
        self,
        tasks: asyncio.TaskGroup,
        pauses: PauseDetector,
    ) -> None:
        now = self._clock()
        length = pauses.observe(now)
        if length:
            logger.warning('view-doubted', extra={'pause': round(length, 3)})
            self.table.forget_beliefs(now)
        for record in self.table.expire_suspects(now):
            logger.info('member-dead', extra={'member': str(record.address)})
        for peer in self._next_peers():
            tasks.create_task(self._probe(peer))

    async def _wait(self) -> None:
        gap = self.times.announcement_gap
        await asyncio.sleep(gap)
        turn = self.times.turn * self._rng.uniform(0.9, 1.1)
        await _within(self._own_changed, turn - gap)

    def _next_peers(self) -> list[Address]:
        """Return one peer, or several after the own record has changed."""
        present = self._others(self._exchange.own.record.address)
        if self._own_changed.is_set():
            self._own_changed.clear()
            count = min(len(present), self.times.announcements)
            return self._rng.sample(present, count)
        named = set(present)
        self._round = [peer for peer in self._round if peer in named]
        if not self._round:
            self._round = self._rng.sample(present, len(present))
        return [self._round.pop()] if self._round else []

    def _others(self, *excluded: Address) -> list[Address]:
        return [peer for peer in self._peers() if peer not in excluded]

    async def _probe(self, peer: Address) -> None:
        started_at = self._clock()
        sequence = self._next_sequence()
        pending = _Pending(peer, asyncio.Event())
        self._pending[sequence] = pending
        with ExitStack() as cleanup:
            cleanup.callback(self._pending.pop, sequence)
            answered = await self._ask(pending, sequence)
        now = self._clock()
        allowed = self.times.direct + self.times.indirect + self.times.pause
        if not answered and now - started_at <= allowed:
            self._suspect(peer, now)

    async def _ask(self, pending: _Pending, sequence: int) -> bool:
        self.send_probe(pending.peer, sequence)
        if await _within(pending.answered, self.times.direct):
            return True
        own = self._exchange.own.record.address
        others = self._others(own, pending.peer)
        count = min(len(others), self.times.helpers)
        request = messages.encode_probe_via(
            messages.ProbeVia(self._exchange.greeting(sequence), pending.peer),
        )
        for helper in self._rng.sample(others, count):
            self._send(helper, Kind.PROBE_VIA, request)
        return await _within(pending.answered, self.times.indirect)

    def _suspect(self, peer: Address, now: float) -> None:
        self.table.suspect(peer, now)
        word = self.table.record(peer)
        if word is None:
            return
        logger.info('member-silent', extra={'member': str(peer)})
        self.send_probe(peer, self._next_sequence(), (word,))

    def send_probe(
        self,
        peer: Address,
        sequence: int,
        words: tuple[MemberRecord, ...] = (),
    ) -> None:
        """Send one probe and wait for nothing."""
        probe = messages.Probe(self._exchange.greeting(sequence), words)
        self._send(peer, Kind.PROBE, messages.encode_probe(probe))

    def _send_ack(
        self,
        peer: Address,
        sequence: int,
        words: tuple[MemberRecord, ...],
    ) -> None:
        ack = messages.Ack(self._exchange.greeting(sequence), words)
        self._send(peer, Kind.ACK, messages.encode_ack(ack))

    def _handle_probe(
        self,
        probe: messages.Probe,
        sender_address: Address,
        now: float,
    ) -> None:
        greeting = probe.greeting
        self._exchange.learn(greeting, probe.words, now)
        words = self._exchange.words_for(greeting)
        self._send_ack(sender_address, greeting.sequence, words)

    def _handle_ack(self, ack: messages.Ack, now: float) -> None:
        greeting = ack.greeting
        sender = greeting.sender
        self._exchange.learn(greeting, ack.words, now)
        self.table.note_load(
            sender.address,
            sender.free_slots,
            sender.queued,
            now,
        )
        if greeting.sequence == PUSH_SEQUENCE:
            return
        self._pass_back(ack)
        pending = self._pending.get(greeting.sequence)
        if pending and pending.peer == sender.address:
            pending.answered.set()
        words = self._exchange.words_for(greeting)
        if words:
            self._send_ack(sender.address, PUSH_SEQUENCE, words)

    def _handle_via(self, request: messages.ProbeVia, now: float) -> None:
        greeting = request.greeting
        self._exchange.learn(greeting, (), now)
        sequence = self._next_sequence()
        self._relays.add(request, sequence)
        self.send_probe(request.target, sequence)

    def _pass_back(self, ack: messages.Ack) -> None:
        relay = self._relays.take(ack)
        if relay is None:
            return
        greeting = evolve(ack.greeting, sequence=relay.sequence)
        body = messages.encode_ack(messages.Ack(greeting))
        self._send(relay.requester, Kind.ACK, body)

    def _next_sequence(self) -> int:
        self._sequence = self._sequence % MAX_COUNTER + 1
        return self._sequence


async def _within(event: asyncio.Event, seconds: float) -> bool:
    """Tell whether an event is set within some seconds.

    ``asyncio.wait_for`` would not do: before Python 3.12 it swallows a
    cancellation that arrives together with the event, and the loop of
    ``run`` would go on for ever.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
