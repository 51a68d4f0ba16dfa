"""The exact state of the flows at one backend server."""

__all__ = ('BackendFlow', 'FlowPhase', 'FlowTable')

import enum
from collections.abc import Iterator

from attrs import define, field

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)

# A client that got the server's word begins its request within this time;
# the slot that was kept for it is free afterwards.
RESERVATION_S = 0.3
# Ended flows are remembered, so that late packets still find the server.
ENDED_FLOW_LIFETIME_S = 3.0
# The service's answers acknowledge at most this much beyond its first byte.
ACK_WINDOW = 76_800
SEQUENCE_MASK = 0xFFFFFFFF


class FlowPhase(enum.IntEnum):
    """How far a flow has come."""

    HANDSHAKE = 0
    OPEN = 1
    ENDED = 2


@define(eq=False, repr=False)
class BackendFlow:
    """A flow that the backend server holds, or is about to.

    ``first_sequence`` is the server's, known once it answered.
    ``acknowledged`` is the newest of the client's, from which a reset takes
    its number. ``request_at`` is the time since which a request runs.
    """

    key: FlowKey
    balancer: SocketAddress
    opened_at: float
    last_at: float
    phase: FlowPhase = FlowPhase.HANDSHAKE
    first_sequence: int | None = None
    acknowledged: int = 0
    reserved_until: float = 0
    request_at: float | None = None
    client_closed: bool = False
    server_closed: bool = False
    first_packet_raw: bytes = b''

    def holds_slot(self, now: float) -> bool:
        """Whether a request runs or a slot is kept for one."""
        return self.request_at is not None or now < self.reserved_until

    def matches_ack(self, acknowledged: int) -> bool:
        """Tell whether the client took this server's answer.

        While a flow opens, copies of its first packet may have reached two
        servers. The client acknowledges the answer of one.
        """
        if self.phase is not FlowPhase.HANDSHAKE:
            return True
        if self.first_sequence is None:
            return False
        ahead = (acknowledged - self.first_sequence) & SEQUENCE_MASK
        return ahead <= ACK_WINDOW


@define(eq=False, repr=False)
class FlowTable:
    """All flows of one backend server, with the slots that they take."""

    flows: dict[FlowKey, BackendFlow] = field(factory=dict)
    # The few flows that run a request or have a slot reserved.
    _active: dict[FlowKey, BackendFlow] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of flows, ended ones included."""
        return len(self.flows)

    def get(self, key: FlowKey) -> BackendFlow | None:
        """Return a flow."""
        return self.flows.get(key)

    def add_new(
        self,
        now: float,
        packet: Packet,
        balancer: SocketAddress,
    ) -> BackendFlow:
        """Add a flow whose first packet goes to the server; reserve a slot."""
        flow = BackendFlow(packet.key, balancer, now, now)
        flow.first_packet_raw = packet.raw
        flow.reserved_until = now + RESERVATION_S
        self.flows[packet.key] = flow
        self._active[packet.key] = flow
        return flow

    def adopt(
        self, now: float, key: FlowKey, balancer: SocketAddress
    ) -> BackendFlow:
        """Add a flow that the server turned out to hold."""
        flow = BackendFlow(key, balancer, now, now, FlowPhase.OPEN)
        self.flows[key] = flow
        return flow

    def remove(self, key: FlowKey) -> None:
        """Forget a flow."""
        self.flows.pop(key, None)
        self._active.pop(key, None)

    def on_client_packet(
        self, now: float, flow: BackendFlow, packet: Packet
    ) -> None:
        """Take note of a client's packet on its way to the server."""
        flow.last_at = now
        if packet.is_ack:
            flow.acknowledged = packet.acknowledged
            if flow.phase is FlowPhase.HANDSHAKE:
                flow.phase = FlowPhase.OPEN
        if packet.payload_bytes and flow.request_at is None:
            flow.request_at = now
            self._active[flow.key] = flow
        if packet.is_fin:
            flow.client_closed = True
        self._check_end(flow, packet)

    def on_server_packet(
        self,
        now: float,
        flow: BackendFlow,
        packet: Packet,
    ) -> float | None:
        """Take note of a server's packet; return how long a request ran.

        The result is None unless this packet is the first of an answer.
        """
        flow.last_at = now
        service_s = None
        if packet.is_syn:
            flow.first_sequence = packet.sequence
        if packet.payload_bytes or packet.is_fin or packet.is_rst:
            if flow.request_at is not None and packet.payload_bytes:
                service_s = now - flow.request_at
            flow.request_at = None
            flow.reserved_until = 0
            self._active.pop(flow.key, None)
        if packet.is_fin:
            flow.server_closed = True
        self._check_end(flow, packet)
        return service_s

    def busy(self, now: float) -> int:
        """Return the slots taken or reserved."""
        for key, flow in tuple(self._active.items()):
            if not flow.holds_slot(now):
                self._active.pop(key)
        return len(self._active)

    def running(self) -> list[BackendFlow]:
        """Return the flows that wait for their server's answer."""
        return [
            flow
            for flow in self._active.values()
            if flow.request_at is not None
        ]

    def open_flows(self) -> list[BackendFlow]:
        """Return the flows that have not ended."""
        return [
            flow
            for flow in self.flows.values()
            if flow.phase is not FlowPhase.ENDED
        ]

    def sweep(self, now: float, idle_s: float) -> int:
        """Drop ended and idle flows; return how many are left."""
        for flow in tuple(self.flows.values()):
            limit = (
                ENDED_FLOW_LIFETIME_S
                if flow.phase is FlowPhase.ENDED
                else idle_s
            )
            if now - flow.last_at > limit:
                self.remove(flow.key)
        return len(self.flows)

    def __iter__(self) -> Iterator[BackendFlow]:
        """Iterate over all flows."""
        return iter(tuple(self.flows.values()))

    def _check_end(self, flow: BackendFlow, packet: Packet) -> None:
        if packet.is_rst or (flow.client_closed and flow.server_closed):
            flow.phase = FlowPhase.ENDED
            flow.request_at = None
            flow.reserved_until = 0
            self._active.pop(flow.key, None)
