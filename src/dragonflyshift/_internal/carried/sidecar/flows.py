"""Flows of one backend server, and the outcomes of their requests."""

__all__ = (
    'MAX_SEQUENCE_LEAD',
    'SEQUENCE_MASK',
    'BackendFlow',
    'FlowPhase',
    'OutcomeKind',
    'RequestOutcome',
    'RequestOutcomes',
)

import enum

from attrs import define, field, frozen

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)

# A client's acknowledgement of the service's answers exceeds the server's first
# sequence number by at most this many bytes.
ACK_WINDOW = 76_800
SEQUENCE_MASK = 0xFFFFFFFF
MAX_SEQUENCE_LEAD = 1 << 31
# An answer is complete after this time without further bytes of it.
ANSWER_GAP_S = 0.1


class FlowPhase(enum.IntEnum):
    """Phase of a flow: in its handshake, open or ended."""

    HANDSHAKE = 0
    OPEN = 1
    ENDED = 2


class OutcomeKind(enum.Enum):
    """How a request ended."""

    ANSWERED = 'answered'
    # The server reset or closed the flow before it answered.
    RESET = 'reset'
    UNANSWERED = 'unanswered'


@frozen(repr=False)
class RequestOutcome:
    """The outcome of a request, without anything that the flow carries.

    ``service_s`` is the time from the first packet of the request to the first
    byte of the answer, ``answer_s`` that from its last packet. Resent bytes
    count once in ``answer_bytes``. ``ahead`` counts the other slots that
    were in use or reserved when this request began.
    """

    key: FlowKey
    kind: OutcomeKind
    ahead: int
    service_s: float = 0
    answer_s: float = 0
    answer_bytes: int = 0


@define(eq=False, repr=False)
class BackendFlow:
    """A flow whose first packet was delivered to the backend server.

    ``first_sequence`` is the server's first sequence number, known once the
    server has answered. ``next_sequence`` is the number after the last byte
    that the server is known to have sent, None for an adopted flow without
    an answer. ``acknowledged`` is the client's latest
    acknowledgement number, which a reset takes as its sequence number.
    ``request_started_at`` is None while no request runs. ``request_sequence``
    is the sequence number of the newest packet of the latest request, which
    was delivered at ``request_sent_at``. ``answer_sequence`` is that of the
    first byte of the current answer, None if there is none. ``is_repeated``
    is set if the client sends an answered request again. Times are in monotonic
    seconds.
    """

    key: FlowKey
    balancer: SocketAddress
    added_at: float
    last_packet_at: float
    phase: FlowPhase = FlowPhase.HANDSHAKE
    first_sequence: int | None = None
    next_sequence: int | None = None
    acknowledged: int = 0
    reserved_until: float = 0
    request_started_at: float | None = None
    client_closed: bool = False
    server_closed: bool = False
    first_packet_raw: bytes = b''
    request_sequence: int | None = None
    request_sent_at: float = 0
    ahead: int = 0
    is_unanswered: bool = False
    is_repeated: bool = False
    answer_sequence: int | None = None
    answer_bytes: int = 0
    service_s: float = 0
    answer_s: float = 0

    def holds_slot(self, now: float) -> bool:
        """Return whether a request runs or a slot is reserved for one."""
        return self.request_started_at is not None or now < self.reserved_until

    def take_new_bytes(self, packet: Packet) -> int:
        """Return how many bytes a server's packet proves to be sent newly.

        Packets overtake each other, and a FIN often arrives before the answer
        that it follows. Bytes that were sent before are not new.
        """
        end = (packet.sequence + packet.payload_bytes) & SEQUENCE_MASK
        if self.next_sequence is None:
            self.next_sequence = end
            return packet.payload_bytes
        new_bytes = (end - self.next_sequence) & SEQUENCE_MASK
        if new_bytes >= MAX_SEQUENCE_LEAD:
            return 0
        self.next_sequence = end
        return new_bytes

    def count_answer_bytes(self, packet: Packet) -> None:
        """Add a packet of the current answer; resent bytes count once."""
        start = self.answer_sequence or 0
        end = (packet.sequence + packet.payload_bytes - start) & SEQUENCE_MASK
        if end < MAX_SEQUENCE_LEAD:
            self.answer_bytes = max(self.answer_bytes, end)

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
class RequestOutcomes:
    """Answers that may not be complete, and the outcomes of requests."""

    _answering: dict[FlowKey, BackendFlow] = field(factory=dict)
    _outcomes: list[RequestOutcome] = field(factory=list)
    # When the server last began an answer.
    answered_at: float = float('-inf')

    def take(self) -> list[RequestOutcome]:
        """Return the outcomes of requests since the last call."""
        outcomes = self._outcomes
        if outcomes:
            self._outcomes = []
        return outcomes

    def complete_answers(self, now: float) -> None:
        """Complete the answers that had no further bytes for a while."""
        for flow in tuple(self._answering.values()):
            if now - flow.last_packet_at > ANSWER_GAP_S:
                self.complete_answer(flow)

    def begin_answer(
        self, now: float, flow: BackendFlow, new_bytes: int
    ) -> float:
        """Begin the answer to a running request; return its service time.

        ``new_bytes`` is the number of its bytes that are known to be sent.
        """
        end = flow.next_sequence or 0
        flow.answer_sequence = (end - new_bytes) & SEQUENCE_MASK
        flow.answer_bytes = new_bytes
        flow.service_s = now - (flow.request_started_at or now)
        flow.answer_s = now - flow.request_sent_at
        self._answering[flow.key] = flow
        self.answered_at = now
        return flow.service_s

    def complete_answer(self, flow: BackendFlow) -> None:
        """Complete the current answer of a flow, if there is one."""
        if flow.answer_sequence is not None:
            flow.answer_sequence = None
            self._answering.pop(flow.key, None)
            self.add(flow, OutcomeKind.ANSWERED)

    def add(self, flow: BackendFlow, kind: OutcomeKind) -> None:
        """Add the outcome of the latest request of a flow."""
        self._outcomes.append(
            RequestOutcome(
                flow.key,
                kind,
                flow.ahead,
                flow.service_s,
                flow.answer_s,
                flow.answer_bytes,
            )
        )

    def discard(self, flow: BackendFlow) -> None:
        """Forget the answer of a flow that is removed."""
        self._answering.pop(flow.key, None)
