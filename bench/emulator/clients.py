"""Emulated clients that retransmit packets and retry failed requests."""

__all__ = ('Clients',)

import random
import socket
from collections.abc import Callable
from functools import partial

from attrs import define, field

from bench.emulator.backend import RESPONSE
from bench.emulator.clock import VirtualClock
from bench.emulator.scenario import MS_PER_S, LoadKind
from bench.emulator.statistics import Request, Statistics
from dragonflyshift._internal.carried.packet import FlowKey, flow_name
from dragonflyshift._internal.carried.sidecar.flows import ACK_WINDOW
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, FIN, SERVICE_HOST, SYN, build_packet

# Published by the platform: when a client sends copies of a first packet, and
# when it abandons a new flow.
FIRST_PACKET_TIMES_S = (0, 0.2, 0.6)
NEW_FLOW_TIMEOUT_S = 1.4
FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
FIRST_PORT = 1024
PORTS_PER_HOST = 60_000
# Callers of a kind have addresses in a network below 100.64.0.0.
CALLER_NETWORKS = 64
_CODEC = PlatformCodec()


@define(eq=False)
class _Flow:
    """Client side of a flow.

    ``req`` is the request under way. ``acknowledged`` is the acknowledgement
    number for the server, ``sequence`` the sequence number of the last request.
    """

    key: FlowKey
    kind: LoadKind
    req: Request | None = None
    is_established: bool = False
    is_closed: bool = False
    user: int = 0
    acknowledged: int = 0
    sequence: int = 1
    answer_bytes: int = 0


@define(eq=False)
class Clients:
    """All clients of a run.

    ``send(raw)`` passes a packet to the fabric. ``is_held(key)`` returns
    whether a server that runs holds an open flow, which no daemon may reset.
    ``services`` maps the name of each load kind to the port of its service.
    """

    clock: VirtualClock
    rng: random.Random
    statistics: Statistics
    send: Callable[[bytes], None]
    is_held: Callable[[FlowKey], bool]
    services: dict[str, int]
    _flows: dict[FlowKey, _Flow] = field(factory=dict)
    # The established flow of each user that has no request under way, by the
    # name of the load kind and the number of the user.
    _idle_flows: dict[tuple[str, int], _Flow] = field(factory=dict)
    _port_count: int = 0

    def start_request(self, kind: LoadKind) -> None:
        """Send a request, and record a failure when its budget has passed."""
        caller = self.rng.randrange(kind.callers) if kind.callers else 0
        req = Request(kind, self.clock.now, caller)
        self.statistics.record_request(req)
        self.clock.after(
            kind.budget_ms / MS_PER_S,
            partial(self._on_budget_expired, req),
        )
        self._start_attempt(req)

    def on_packet(self, raw: bytes) -> None:
        """Handle a packet from a backend server or a reset from a daemon."""
        packet = _CODEC.from_backend(raw)
        flow = self._flows.get(packet.key)
        if flow is None or flow.is_closed:
            return
        if packet.is_rst:
            self._on_reset(flow, packet.sequence)
        elif packet.is_syn and not flow.is_established:
            self._on_established(flow, packet.sequence + 1)
        elif packet.payload_bytes:
            flow.acknowledged = packet.sequence + packet.payload_bytes
            self._on_response(flow, raw.endswith(RESPONSE))

    def _on_established(self, flow: _Flow, acknowledged: int) -> None:
        flow.is_established = True
        flow.acknowledged = acknowledged
        if flow.req is not None and flow.req.is_done:
            # The client has given up.
            flow.is_closed = True
            self._flows.pop(flow.key)
            return
        self._send_request(flow)

    def _start_attempt(self, req: Request) -> None:
        req.attempts += 1
        user = self.rng.randrange(req.kind.users or 1)
        idle = self._idle_flows.get((req.kind.name, user))
        if idle is not None and req.attempts == 1:
            self._idle_flows.pop((req.kind.name, user))
            idle.req = req
            self._send_request(idle)
            return
        self._open_flow(req, user)

    def _open_flow(self, req: Request, user: int) -> None:
        self._port_count += 1
        host, port = divmod(self._port_count, PORTS_PER_HOST)
        address = f'100.64.{host}.7'
        if req.kind.callers:
            # Each kind has a service port, and its callers have a network.
            network = self.services[req.kind.name] % CALLER_NETWORKS
            address = f'100.{network}.{req.caller}.{host}'
        key = b''.join(
            (
                socket.inet_aton(address),
                (FIRST_PORT + port).to_bytes(2, 'big'),
                socket.inet_aton(SERVICE_HOST),
                self.services[req.kind.name].to_bytes(2, 'big'),
            )
        )
        flow = _Flow(key, req.kind, req, user=user)
        self._flows[key] = flow
        for copy, delay in enumerate(FIRST_PACKET_TIMES_S):
            self.clock.after(delay, partial(self._send_copy, flow, copy))
        self.clock.after(
            NEW_FLOW_TIMEOUT_S,
            partial(self._on_new_flow_timeout, flow),
        )

    def _send_copy(self, flow: _Flow, copy: int) -> None:
        """Send a first packet, its number in the acknowledgement field."""
        if not flow.is_established and not flow.is_closed:
            self.send(build_packet(flow.key, SYN, acknowledged=copy))

    def _on_new_flow_timeout(self, flow: _Flow) -> None:
        if not flow.is_established and not flow.is_closed:
            self._on_flow_lost(flow)

    def _send_request(self, flow: _Flow) -> None:
        flow.sequence += 1
        flow.answer_bytes = flow.kind.min_answer_bytes
        if flow.kind.max_answer_bytes > flow.answer_bytes:
            flow.answer_bytes = self.rng.randint(
                flow.answer_bytes, flow.kind.max_answer_bytes
            )
        self._transmit(flow, flow.sequence, FIRST_RETRANSMISSION_S)

    def _transmit(self, flow: _Flow, sequence: int, interval_s: float) -> None:
        req = flow.req
        if flow.is_closed or req is None or flow.sequence != sequence:
            return
        kind = flow.kind
        payload = b'%d %d %d %d' % (
            kind.work_ms * MS_PER_S,
            kind.spread * 100,
            flow.answer_bytes,
            not kind.users,
        )
        self.send(
            build_packet(
                flow.key,
                ACK,
                sequence=sequence,
                acknowledged=flow.acknowledged,
                payload=payload,
            )
        )
        next_interval_s = min(MAX_RETRANSMISSION_S, interval_s * 2)
        self.clock.after(
            interval_s,
            partial(self._transmit, flow, sequence, next_interval_s),
        )

    def _on_reset(self, flow: _Flow, sequence: int) -> None:
        if flow.is_established:
            if abs(sequence - flow.acknowledged) > ACK_WINDOW:
                return
            if self.is_held(flow.key):
                self.statistics.violations.append(
                    f'reset of the open flow {flow_name(flow.key)}'
                )
        self._on_flow_lost(flow)

    def _on_flow_lost(self, flow: _Flow) -> None:
        flow.is_closed = True
        self._flows.pop(flow.key, None)
        user_key = (flow.kind.name, flow.user)
        if self._idle_flows.get(user_key) is flow:
            self._idle_flows.pop(user_key)
        req = flow.req
        if req is None or req.is_done:
            return
        has_run = flow.is_established and not req.kind.is_repeatable
        if has_run or req.attempts > req.kind.retries:
            self._fail(req)
        else:
            self._start_attempt(req)

    def _on_response(self, flow: _Flow, succeeded: bool) -> None:
        req = flow.req
        if req is None:
            return
        flow.req = None
        if not succeeded:
            flow.req = req
            self._on_flow_lost(flow)
            return
        if not req.is_done:
            req.is_done = True
            self.statistics.record_response(req, self.clock.now)
        if flow.kind.users:
            self._idle_flows[flow.kind.name, flow.user] = flow
        else:
            self._close_flow(flow)

    def _close_flow(self, flow: _Flow) -> None:
        flow.is_closed = True
        self._flows.pop(flow.key, None)
        self.send(
            build_packet(
                flow.key,
                FIN | ACK,
                sequence=flow.sequence + 1,
                acknowledged=flow.acknowledged,
            )
        )

    def _on_budget_expired(self, req: Request) -> None:
        if not req.is_done:
            self._fail(req)

    def _fail(self, req: Request) -> None:
        req.is_done = True
        self.statistics.record_failure(req)
