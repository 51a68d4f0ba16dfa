"""Emulated clients: flows, copies, retransmissions and retries."""

__all__ = ('Clients',)

import random
import socket
from collections.abc import Callable
from functools import partial

from attrs import define, field

from bench.emulator.backend import ANSWER
from bench.emulator.clock import VirtualClock
from bench.emulator.scenario import MS_PER_S, LoadKind
from bench.emulator.tally import Request, Tally
from dragonflyshift._internal.carried.packet import FlowKey
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, FIN, SERVICE_HOST, SYN, build_packet

# The published times of copies of a first packet, and of giving up.
COPY_TIMES_S = (0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
FIRST_PORT = 1024
PORTS = 60_000
_CODEC = PlatformCodec()


@define(eq=False)
class _Flow:
    """A flow at its client."""

    key: FlowKey
    kind: LoadKind
    req: Request | None = None
    is_open: bool = False
    is_over: bool = False
    user: int = 0
    acknowledged: int = 0
    sequence: int = 1


@define(eq=False)
class Clients:
    """All clients; ``send(raw)`` hands a packet to the fabric."""

    clock: VirtualClock
    rng: random.Random
    tally: Tally
    send: Callable[[bytes], None]
    services: dict[str, int]
    _flows: dict[FlowKey, _Flow] = field(factory=dict)
    # The open flow of each user that has no request under way.
    _idle: dict[tuple[str, int], _Flow] = field(factory=dict)
    _ports: int = 0

    def begin(self, kind: LoadKind) -> None:
        """Send one request."""
        req = Request(kind, self.clock.now)
        self.tally.sent(req)
        self.clock.after(
            kind.budget_ms / MS_PER_S,
            partial(self._give_up, req),
        )
        self._attempt(req)

    def packet(self, raw: bytes) -> None:
        """Take a packet from a server, or a reset."""
        packet = _CODEC.from_backend(raw)
        flow = self._flows.get(packet.key)
        if flow is None or flow.is_over:
            return
        if packet.is_rst:
            self._reset(flow, packet.sequence)
        elif packet.is_syn and not flow.is_open:
            flow.is_open = True
            flow.acknowledged = packet.sequence + 1
            self._send_request(flow)
        elif packet.payload_bytes:
            self._answered(flow, raw.endswith(ANSWER))

    def _attempt(self, req: Request) -> None:
        req.attempts += 1
        user = self.rng.randrange(req.kind.users or 1)
        idle = self._idle.get((req.kind.name, user))
        if idle is not None and req.attempts == 1:
            self._idle.pop((req.kind.name, user))
            idle.req = req
            self._send_request(idle)
            return
        self._open(req, user)

    def _open(self, req: Request, user: int) -> None:
        self._ports += 1
        host, port = divmod(self._ports, PORTS)
        key = b''.join(
            (
                socket.inet_aton(f'100.64.{host}.7'),
                (FIRST_PORT + port).to_bytes(2, 'big'),
                socket.inet_aton(SERVICE_HOST),
                self.services[req.kind.name].to_bytes(2, 'big'),
            )
        )
        flow = _Flow(key, req.kind, req, user=user)
        self._flows[key] = flow
        for copy, delay in enumerate(COPY_TIMES_S):
            self.clock.after(delay, partial(self._send_copy, flow, copy))
        self.clock.after(
            OPENING_TIMEOUT_S,
            partial(self._opening_ends, flow),
        )

    def _send_copy(self, flow: _Flow, copy: int) -> None:
        if not flow.is_open and not flow.is_over:
            self.send(build_packet(flow.key, SYN, acknowledged=copy))

    def _opening_ends(self, flow: _Flow) -> None:
        if not flow.is_open and not flow.is_over:
            self._lose(flow)

    def _send_request(self, flow: _Flow) -> None:
        flow.sequence += 1
        self._transmit(flow, flow.sequence, FIRST_RETRANSMISSION_S)

    def _transmit(self, flow: _Flow, sequence: int, gap_s: float) -> None:
        req = flow.req
        if flow.is_over or req is None or flow.sequence != sequence:
            return
        kind = flow.kind
        payload = b'%d %d' % (kind.work_ms * MS_PER_S, kind.spread * 100)
        self.send(
            build_packet(
                flow.key,
                ACK,
                sequence=sequence,
                acknowledged=flow.acknowledged,
                payload=payload,
            )
        )
        longer = min(MAX_RETRANSMISSION_S, gap_s * 2)
        self.clock.after(
            gap_s,
            partial(self._transmit, flow, sequence, longer),
        )

    def _reset(self, flow: _Flow, sequence: int) -> None:
        if not flow.is_open or sequence == flow.acknowledged:
            self._lose(flow)

    def _lose(self, flow: _Flow) -> None:
        flow.is_over = True
        self._flows.pop(flow.key, None)
        user = (flow.kind.name, flow.user)
        if self._idle.get(user) is flow:
            self._idle.pop(user)
        req = flow.req
        if req is None or req.is_done:
            return
        if req.attempts > req.kind.retries:
            self._fail(req)
        else:
            self._attempt(req)

    def _answered(self, flow: _Flow, succeeded: bool) -> None:
        req = flow.req
        if req is None:
            return
        flow.req = None
        if not succeeded:
            flow.req = req
            self._lose(flow)
            return
        if not req.is_done:
            req.is_done = True
            self.tally.answered(req, self.clock.now)
        if flow.kind.users:
            self._idle[flow.kind.name, flow.user] = flow
        else:
            self._close(flow)

    def _close(self, flow: _Flow) -> None:
        flow.is_over = True
        self._flows.pop(flow.key, None)
        self.send(
            build_packet(
                flow.key,
                FIN | ACK,
                sequence=flow.sequence + 1,
                acknowledged=flow.acknowledged,
            )
        )

    def _give_up(self, req: Request) -> None:
        if not req.is_done:
            self._fail(req)

    def _fail(self, req: Request) -> None:
        req.is_done = True
        self.tally.failed(req)
