"""Flow table of one backend server, with the slots that its flows occupy."""

__all__ = ('FlowTable',)

from collections.abc import Iterator

from attrs import define, field

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)
from dragonflyshift._internal.carried.policies.admission import (
    SlotReservation,
)
from dragonflyshift._internal.carried.sidecar.flows import (
    MAX_SEQUENCE_LEAD,
    SEQUENCE_MASK,
    BackendFlow,
    FlowPhase,
    OutcomeKind,
    RequestOutcomes,
)

# Ended flows stay in the table for this time, so that late packets are still
# delivered to the server.
ENDED_FLOW_LIFETIME_S = 3.0
# An unanswered request occupies its slot for this time after it was reported.
# The slots of a server that loses requests would stay occupied otherwise. The
# time is longer while the server answers nothing, as it loses the next one too.
UNANSWERED_SLOT_S = 1.0
SILENT_SLOT_S = 4.0


@define(eq=False, repr=False)
class FlowTable:
    """All flows of one backend server, with the slots that they occupy."""

    flows: dict[FlowKey, BackendFlow] = field(factory=dict)
    # The flows that run a request or have a slot reserved: usually few.
    _active: dict[FlowKey, BackendFlow] = field(factory=dict)
    outcomes: RequestOutcomes = field(factory=RequestOutcomes)
    _reservation: SlotReservation = field(factory=SlotReservation)
    _ended: int = field(default=0)

    @property
    def live_count(self) -> int:
        """The number of flows that have not ended."""
        return len(self.flows) - self._ended

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
        flow.reserved_until = self._reservation.until(now)
        self.remove(packet.key)
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
        self.remove(key)
        self.flows[key] = flow
        return flow

    def remove(self, key: FlowKey) -> None:
        """Remove a flow, if the table has it."""
        flow = self.flows.pop(key, None)
        self._active.pop(key, None)
        if flow is not None:
            self._ended -= flow.phase is FlowPhase.ENDED
            self.outcomes.discard(flow)

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
        if packet.payload_bytes:
            self._on_request_packet(now, flow, packet)
        if packet.is_fin:
            flow.client_closed = True
        if packet.is_fin or packet.is_rst:
            self.outcomes.complete_answer(flow)
        self._check_end(flow, packet)

    def on_server_packet(
        self,
        now: float,
        flow: BackendFlow,
        packet: Packet,
    ) -> float | None:
        """Update a flow for a server's packet.

        Returns the service time in seconds if this packet is the first of an
        answer, otherwise None. An answer that the server sends again has none.
        """
        flow.last_packet_at = now
        service_s = None
        new_bytes = 0
        if packet.is_syn:
            if packet.sequence != flow.first_sequence:
                flow.first_sequence = packet.sequence
                flow.next_sequence = (packet.sequence + 1) & SEQUENCE_MASK
        elif not packet.is_rst:
            new_bytes = flow.take_new_bytes(packet)
        is_repeated = flow.is_repeated and packet.payload_bytes > 0
        if new_bytes or is_repeated or packet.is_fin or packet.is_rst:
            service_s = self._end_request(now, flow, new_bytes)
        if flow.answer_sequence is not None and packet.payload_bytes:
            flow.count_answer_bytes(packet)
        if packet.is_fin:
            flow.server_closed = True
        if packet.is_fin or packet.is_rst:
            self.outcomes.complete_answer(flow)
        self._check_end(flow, packet)
        return service_s

    def check_unanswered(
        self, now: float, flow: BackendFlow, limit_s: float
    ) -> None:
        """Report a request once it has run for ``limit_s`` without an answer.

        Some time later it frees its slot.
        """
        running_s = now - flow.request_sent_at
        if running_s < limit_s:
            return
        if not flow.is_unanswered and not flow.is_repeated:
            flow.is_unanswered = True
            self.outcomes.add(flow, OutcomeKind.UNANSWERED)
        is_silent = self.outcomes.answered_at < flow.request_sent_at
        slot_s = SILENT_SLOT_S if is_silent else UNANSWERED_SLOT_S
        if running_s > limit_s + slot_s:
            flow.request_started_at = None
            self._active.pop(flow.key, None)

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

    def _on_request_packet(
        self, now: float, flow: BackendFlow, packet: Packet
    ) -> None:
        previous = flow.request_sequence
        if previous is None and flow.reserved_until:
            self._reservation.record(now - flow.added_at)
        is_new = previous is None or (
            0 < (packet.sequence - previous) & SEQUENCE_MASK < MAX_SEQUENCE_LEAD
        )
        if is_new:
            flow.request_sequence = packet.sequence
            flow.request_sent_at = now
        if flow.request_started_at is None and (
            is_new or not flow.is_unanswered
        ):
            self.outcomes.complete_answer(flow)
            flow.ahead = len(self._active) - (flow.key in self._active)
            flow.is_unanswered = False
            flow.is_repeated = not is_new
            flow.service_s = 0
            flow.answer_s = 0
            flow.answer_bytes = 0
            flow.request_sent_at = now
            flow.request_started_at = now
            self._active[flow.key] = flow

    def _end_request(
        self, now: float, flow: BackendFlow, new_bytes: int
    ) -> float | None:
        """End the running request; return its service time if answered."""
        service_s = None
        is_running = flow.request_started_at is not None
        if is_running and not flow.is_repeated:
            if new_bytes:
                service_s = self.outcomes.begin_answer(now, flow, new_bytes)
            elif not flow.client_closed:
                self.outcomes.add(flow, OutcomeKind.RESET)
        flow.request_started_at = None
        flow.reserved_until = 0
        self._active.pop(flow.key, None)
        return service_s

    def _check_end(self, flow: BackendFlow, packet: Packet) -> None:
        if packet.is_rst or (flow.client_closed and flow.server_closed):
            self._ended += flow.phase is not FlowPhase.ENDED
            flow.phase = FlowPhase.ENDED
            flow.request_started_at = None
            flow.reserved_until = 0
            self._active.pop(flow.key, None)
