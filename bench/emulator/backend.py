"""Emulated backend servers with slots, a bounded queue and their flows."""

__all__ = ('EmulatedBackend',)

import random
from collections import deque
from collections.abc import Callable
from functools import partial

from attrs import define, field

from bench.emulator.clock import VirtualClock
from bench.emulator.scenario import MS_PER_S, FleetPlan
from dragonflyshift._internal.carried.packet import FlowKey, Packet
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, BOUNCED, FIN, RST, SYN, build_packet

RESPONSE = b'answer'
SHED_RESPONSE = b'shed'
# A failing server answers with an error of this length, after this time.
ERROR_RESPONSE = b'error'.ljust(100)
ERROR_S = 0.001
MAX_FIRST_SEQUENCE = 1 << 31
_FLAGS_OFFSET = 8
_CODEC = PlatformCodec()


@define(eq=False)
class _ServerFlow:
    """Server side of a flow.

    ``sequence`` is the server's first sequence number, ``sent_bytes`` counts
    the bytes of its answers. The server closes the flow after an answer if
    ``closes`` is set. ``last_request_sequence`` is the sequence number of the
    last request; it identifies retransmissions.
    """

    sequence: int
    last_request_sequence: int = -1
    answer_bytes: int = 0
    sent_bytes: int = 0
    closes: bool = False


@define(eq=False)
class EmulatedBackend:
    """Backend server that runs one request per slot.

    Further requests wait in a queue; a full queue sheds them. The payload of
    a request is the mean service time in microseconds, its spread in percent,
    the length of the answer and 1 if the server closes the flow then.
    ``outbound(raw)`` sends a packet to the sidecar. Service times are
    multiplied by ``slowdown`` and divided by ``speed``. A share
    ``failure_share`` of the requests fails in the way of the fault
    ``failure``, if there is one. ``cold_flows`` counts the new flows while the
    server was cold, ``cold_peak`` is the highest number in a second.
    """

    clock: VirtualClock
    plan: FleetPlan
    rng: random.Random
    outbound: Callable[[bytes], None]
    slowdown: float = 1.0
    speed: float = 1.0
    failure: str = ''
    failure_share: float = 0
    is_down: bool = False
    started_requests: int = 0
    cold_flows: int = 0
    cold_peak: int = 0
    _last_cold_flows: deque[float] = field(factory=deque)
    # Long before the run, so that the server isn't cold when the run begins.
    _started_at: float = -1000
    _flows: dict[FlowKey, _ServerFlow] = field(factory=dict)
    _queue: list[tuple[FlowKey, float]] = field(factory=list)
    _running: int = 0
    # Counts crashes, so that requests started before one don't finish.
    _generation: int = 0

    def crash(self) -> None:
        """Drop all flows and requests, and ignore packets until ``start``."""
        self.is_down = True
        self._generation += 1
        self._flows.clear()
        self._queue.clear()
        self._running = 0

    def start(self) -> None:
        """Accept packets again, with slower responses for ``plan.cold_s``."""
        self.is_down = False
        self._started_at = self.clock.now

    def holds_open(self, key: FlowKey) -> bool:
        """Return whether the server has received a request on a flow."""
        flow = self._flows.get(key)
        return flow is not None and flow.last_request_sequence >= 0

    def on_packet(self, raw: bytes) -> None:
        """Handle a packet from the sidecar."""
        if self.is_down:
            return
        packet = _CODEC.from_client(raw)
        if packet.is_first:
            self._accept_flow(packet.key)
        elif packet.key not in self._flows:
            bounced = bytearray(raw)
            bounced[_FLAGS_OFFSET] |= BOUNCED
            self.outbound(bytes(bounced))
        elif packet.is_fin:
            self._flows.pop(packet.key)
            self._send(packet.key, FIN | ACK)
        elif packet.payload_bytes:
            self._handle_request(packet, raw)

    def _accept_flow(self, key: FlowKey) -> None:
        if key not in self._flows and self._is_cold():
            self._count_cold_flow()
        flow = self._flows.setdefault(
            key,
            _ServerFlow(self.rng.randrange(MAX_FIRST_SEQUENCE)),
        )
        self._send(key, SYN | ACK, sequence=flow.sequence)

    def _count_cold_flow(self) -> None:
        flows = self._last_cold_flows
        flows.append(self.clock.now)
        while self.clock.now - flows[0] >= 1:
            flows.popleft()
        self.cold_flows += 1
        self.cold_peak = max(self.cold_peak, len(flows))

    def _cold_factor(self) -> float:
        plan = self.plan
        excess = len(self._last_cold_flows) / (plan.cold_per_s or float('inf'))
        return plan.cold_factor * max(1, excess)

    def _is_cold(self) -> bool:
        return self.clock.now - self._started_at < self.plan.cold_s

    def _handle_request(self, packet: Packet, raw: bytes) -> None:
        flow = self._flows[packet.key]
        if packet.sequence <= flow.last_request_sequence:
            return
        flow.last_request_sequence = packet.sequence
        if self.failure and self.rng.random() < self.failure_share:
            self._fail(packet.key)
            return
        mean_us, spread, answer_bytes, closes = raw[
            -packet.payload_bytes :
        ].split()
        flow.answer_bytes = int(answer_bytes)
        flow.closes = closes == b'1'
        sigma = int(spread) / 100
        noise = self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        service_time_s = int(mean_us) * noise / MS_PER_S / MS_PER_S
        if self.plan.slow_share and self.rng.random() < self.plan.slow_share:
            service_time_s *= self.plan.slow_factor
        if self._running < self.plan.slots:
            self._start_request(packet.key, service_time_s)
        elif len(self._queue) < self.plan.queue:
            self._queue.append((packet.key, service_time_s))
        else:
            self._send(packet.key, ACK, payload=SHED_RESPONSE)

    def _fail(self, key: FlowKey) -> None:
        if self.failure == 'errors':
            self.clock.after(
                ERROR_S,
                partial(
                    self._send_answer, key, self._flows[key], ERROR_RESPONSE
                ),
            )
        elif self.failure == 'resets':
            self._send(key, RST)
            self._flows.pop(key)

    def _start_request(self, key: FlowKey, service_time_s: float) -> None:
        self._running += 1
        self.started_requests += 1
        cold = self._cold_factor() if self._is_cold() else 1
        self.clock.after(
            service_time_s * self.slowdown * cold / self.speed,
            partial(self._on_finished, key, self._generation),
        )

    def _on_finished(self, key: FlowKey, generation: int) -> None:
        if generation != self._generation:
            return
        self._running -= 1
        flow = self._flows.get(key)
        if flow is not None:
            self._send_answer(key, flow, RESPONSE.rjust(flow.answer_bytes))
        if self._queue:
            self._start_request(*self._queue.pop(0))

    def _send_answer(
        self, key: FlowKey, flow: _ServerFlow, answer: bytes
    ) -> None:
        """Send an answer; a short FIN behind it overtakes it on the way."""
        start = flow.sequence + 1 + flow.sent_bytes
        flow.sent_bytes += len(answer)
        if flow.closes:
            self._send(key, FIN | ACK, sequence=start + len(answer))
        self._send(key, ACK, sequence=start, payload=answer)

    def _send(
        self,
        key: FlowKey,
        flags: int,
        *,
        sequence: int | None = None,
        payload: bytes = b'',
    ) -> None:
        flow = self._flows.get(key)
        next_sequence = 0
        if flow is not None:
            next_sequence = flow.sequence + 1 + flow.sent_bytes
        raw = build_packet(
            key,
            flags,
            sequence=next_sequence if sequence is None else sequence,
            payload=payload,
            from_backend=True,
        )
        self.outbound(raw)
