"""Emulated backend servers: slots, a short queue, flows that they hold."""

__all__ = ('EmulatedBackend',)

import random
from collections.abc import Callable
from functools import partial

from attrs import define, field

from bench.emulator.clock import VirtualClock
from bench.emulator.scenario import MS_PER_S, FleetPlan
from dragonflyshift._internal.carried.packet import FlowKey, Packet
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, BOUNCED, FIN, SYN, build_packet

ANSWER = b'answer'
SHED = b'shed'
MAX_SEQUENCE = 1 << 31
_FLAGS_AT = 8
_CODEC = PlatformCodec()


@define(eq=False)
class _Held:
    """A flow at its server, with the client's number of its last request."""

    sequence: int
    request: int = -1


@define(eq=False)
class EmulatedBackend:
    """Accept flows, run one request a slot, shed when the queue is full.

    The payload of a request is its mean service time in microseconds and the
    spread in percent.
    """

    clock: VirtualClock
    plan: FleetPlan
    rng: random.Random
    outbound: Callable[[bytes], None]
    factor: float = 1.0
    is_down: bool = False
    ran: int = 0
    _started_at: float = -1000
    _flows: dict[FlowKey, _Held] = field(factory=dict)
    _queue: list[tuple[FlowKey, float]] = field(factory=list)
    _running: int = 0
    _life: int = 0

    def crash(self) -> None:
        """Lose all flows and answer nothing."""
        self.is_down = True
        self._life += 1
        self._flows.clear()
        self._queue.clear()
        self._running = 0

    def start(self) -> None:
        """Answer again, slowly at first."""
        self.is_down = False
        self._started_at = self.clock.now

    def packet(self, raw: bytes) -> None:
        """Take a packet from the sidecar."""
        if self.is_down:
            return
        packet = _CODEC.from_client(raw)
        if packet.is_first:
            self._accept(packet.key)
        elif packet.key not in self._flows:
            bounced = bytearray(raw)
            bounced[_FLAGS_AT] |= BOUNCED
            self.outbound(bytes(bounced))
        elif packet.is_fin:
            self._flows.pop(packet.key)
            self._send(packet.key, FIN | ACK)
        elif packet.payload_bytes:
            self._request(packet, raw)

    def _accept(self, key: FlowKey) -> None:
        held = self._flows.setdefault(
            key,
            _Held(self.rng.randrange(MAX_SEQUENCE)),
        )
        self._send(key, SYN | ACK, sequence=held.sequence)

    def _request(self, packet: Packet, raw: bytes) -> None:
        held = self._flows[packet.key]
        if packet.sequence <= held.request:
            return
        held.request = packet.sequence
        mean_us, spread = raw[-packet.payload_bytes :].split()
        sigma = int(spread) / 100
        drawn = self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        work_s = int(mean_us) * drawn / MS_PER_S / MS_PER_S
        if self._running < self.plan.slots:
            self._run(packet.key, work_s)
        elif len(self._queue) < self.plan.queue:
            self._queue.append((packet.key, work_s))
        else:
            self._send(packet.key, ACK, payload=SHED)

    def _run(self, key: FlowKey, work_s: float) -> None:
        self._running += 1
        self.ran += 1
        is_cold = self.clock.now - self._started_at < self.plan.cold_s
        cold = self.plan.cold_factor if is_cold else 1
        self.clock.after(
            work_s * self.factor * cold,
            partial(self._ended, key, self._life),
        )

    def _ended(self, key: FlowKey, life: int) -> None:
        if life != self._life:
            return
        self._running -= 1
        if key in self._flows:
            self._send(key, ACK, payload=ANSWER)
        if self._queue:
            self._run(*self._queue.pop(0))

    def _send(
        self,
        key: FlowKey,
        flags: int,
        *,
        sequence: int | None = None,
        payload: bytes = b'',
    ) -> None:
        held = self._flows.get(key)
        number = 0 if held is None else held.sequence + 1
        raw = build_packet(
            key,
            flags,
            sequence=number if sequence is None else sequence,
            payload=payload,
            from_backend=True,
        )
        self.outbound(raw)
