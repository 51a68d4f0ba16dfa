"""Flow table of one backend server."""

__all__ = ('BackendFlow', 'FlowPhase', 'FlowTable')

import enum
from collections.abc import Iterator

from attrs import define, field

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)

# A client that has received the server's answer to its first packet sends its
# request within this time. Afterwards the slot reserved for it is free.
RESERVATION_S = 0.3
# Ended flows stay in the table for this time, so that late packets are still
# delivered to the server.
ENDED_FLOW_LIFETIME_S = 3.0
# A client's acknowledgement of the service's answers exceeds the server's first
# sequence number by at most this many bytes.
ACK_WINDOW = 76_800
SEQUENCE_MASK = 0xFFFFFFFF


class FlowPhase(enum.IntEnum):
    """Phase of a flow: in its handshake, open or ended."""

    HANDSHAKE = 0
    OPEN = 1
    ENDED = 2


@define(eq=False, repr=False)
class BackendFlow:
    """A flow whose first packet was delivered to the backend server.

    ``first_sequence`` is the server's first sequence number, known once the
    server has answered. ``acknowledged`` is the client's latest
    acknowledgement number, which a reset takes as its sequence number.
    ``request_started_at`` is None while no request runs. Times are in
    monotonic seconds.
    """

    key: FlowKey
    balancer: SocketAddress
    added_at: float
    last_packet_at: float
    phase: FlowPhase = FlowPhase.HANDSHAKE
    first_sequence: int | None = None
    acknowledged: int = 0
    reserved_until: float = 0
    request_started_at: float | None = None
    client_closed: bool = False
    server_closed: bool = False
    first_packet_raw: bytes = b''

    def holds_slot(self, now: float) -> bool:
        """Return whether a request runs or a slot is reserved for one."""
        return self.request_started_at is not None or now < self.reserved_until

    def matches_ack(self, acknowledged: int) -> bool:
        """Return whether the client acknowledges this server's answer.

        Copies of a flow's first packet may have reached two servers, and the
        client acknowledges the answer of one of them. Once the flow is open
        here, any acknowledgement number matches.
        """
        if self.phase is not FlowPhase.HANDSHAKE:
            return True
        if self.first_sequence is None:
            return False
        ahead = (acknowledged - self.first_sequence) & SEQUENCE_MASK
        return ahead <= ACK_WINDOW


@define(eq=False, repr=False)
class FlowTable:
    """All flows of one backend server, with the slots that they occupy."""

    flows: dict[FlowKey, BackendFlow] = field(factory=dict)
    # The flows that run a request or have a slot reserved: usually few.
    _active: dict[FlowKey, BackendFlow] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of flows, ended ones included."""
        return len(self.flows)

    def get(self, key: FlowKey) -> BackendFlow | None:
        """Return a flow, or None for an unknown one."""
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
        self,
        now: float,
        key: FlowKey,
        balancer: SocketAddress,
        phase: FlowPhase,
    ) -> BackendFlow:
        """Add a flow that the server holds and the table lacks."""
        flow = BackendFlow(key, balancer, now, now, phase)
        self.flows[key] = flow
        return flow

    def remove(self, key: FlowKey) -> None:
        """Remove a flow, if the table has it."""
        self.flows.pop(key, None)
        self._active.pop(key, None)

    def on_client_packet(
        self,
        now: float,
        flow: BackendFlow,
        packet: Packet,
    ) -> None:
        """Update a flow for a client's packet on its way to the server."""
        flow.last_packet_at = now
        if packet.is_ack:
            flow.acknowledged = packet.acknowledged
            if flow.phase is FlowPhase.HANDSHAKE:
                flow.phase = FlowPhase.OPEN
        if packet.payload_bytes and flow.request_started_at is None:
            flow.request_started_at = now
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
        """Update a flow for a server's packet.

        Returns the service time in seconds if this packet is the first of an
        answer, otherwise None.
        """
        flow.last_packet_at = now
        service_s = None
        if packet.is_syn:
            flow.first_sequence = packet.sequence
        if packet.payload_bytes or packet.is_fin or packet.is_rst:
            if flow.request_started_at is not None and packet.payload_bytes:
                service_s = now - flow.request_started_at
            flow.request_started_at = None
            flow.reserved_until = 0
            self._active.pop(flow.key, None)
        if packet.is_fin:
            flow.server_closed = True
        self._check_end(flow, packet)
        return service_s

    def busy_slots(self, now: float) -> int:
        """Return the number of slots that are occupied or reserved."""
        for key, flow in tuple(self._active.items()):
            if not flow.holds_slot(now):
                self._active.pop(key)
        return len(self._active)

    def running_flows(self) -> list[BackendFlow]:
        """Return the flows whose request has no answer yet."""
        return [
            flow
            for flow in self._active.values()
            if flow.request_started_at is not None
        ]

    def live_flows(self) -> list[BackendFlow]:
        """Return the flows that have not ended."""
        return [
            flow
            for flow in self.flows.values()
            if flow.phase is not FlowPhase.ENDED
        ]

    def sweep(self, now: float, idle_s: float) -> int:
        """Remove ended and idle flows and return how many are left."""
        for flow in tuple(self.flows.values()):
            max_idle_s = (
                ENDED_FLOW_LIFETIME_S
                if flow.phase is FlowPhase.ENDED
                else idle_s
            )
            if now - flow.last_packet_at > max_idle_s:
                self.remove(flow.key)
        return len(self.flows)

    def __iter__(self) -> Iterator[BackendFlow]:
        """Iterate over all flows."""
        return iter(tuple(self.flows.values()))

    def _check_end(self, flow: BackendFlow, packet: Packet) -> None:
        if packet.is_rst or (flow.client_closed and flow.server_closed):
            flow.phase = FlowPhase.ENDED
            flow.request_started_at = None
            flow.reserved_until = 0
            self._active.pop(flow.key, None)
