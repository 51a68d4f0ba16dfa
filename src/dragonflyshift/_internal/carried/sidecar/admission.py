"""Admission of new flows to the backend server beside a sidecar."""

__all__ = ('FlowAdmission', 'PacketSenders')

import logging
from collections.abc import Callable

from attrs import define

from dragonflyshift._internal.carried.fleet.evacuation_rows import (
    encode_evacuations,
)
from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    ChangeNotice,
    FlowReply,
    FlowStatus,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    PacketCodec,
    SocketAddress,
    first_packet_age_ms,
    flow_name,
)
from dragonflyshift._internal.carried.policies.admission import (
    AdmissionDecision,
    NewFlow,
)
from dragonflyshift._internal.carried.sidecar.backend_tracker import (
    BackendTracker,
)
from dragonflyshift._internal.carried.sidecar.flows import (
    BackendFlow,
    FlowPhase,
)
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import WireError

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# An hour; views that were confirmed earlier are not distinguished.
MAX_NOTICE_AGE_MS = 3_600_000
_EVACUATED = 'evacuated'
WARMUP_REFUSAL = 'warmup-limit'
# A flow that starts before this share of its latency target has passed is
# logged at debug level only: a line takes longer than the decision.
ROUTINE_TARGET_SHARE = 0.25
_ROUTINE_OUTCOMES = frozenset(('start', 'wait', 'start-waited'))


@define(eq=False, repr=False)
class PacketSenders:
    """Callbacks that send packets and datagrams from a sidecar."""

    to_backend: Callable[[bytes], None]
    to_client: Callable[[bytes, FlowKey], None]
    to_balancer: Callable[[bytes, SocketAddress], None]


@define(eq=False, repr=False)
class FlowAdmission:
    """Admits new flows and delivers their first packets to free slots.

    The admission policy of ``backend`` decides whether a flow starts, waits
    for a slot or is refused.
    """

    backend: BackendTracker
    codec: PacketCodec
    senders: PacketSenders
    counters: Counters

    def decide(
        self,
        now: float,
        message: AdmissionRequest,
        packet: Packet,
        balancer: SocketAddress,
    ) -> None:
        """Admit or refuse a new flow and send the decision to the balancer.

        A first packet of a flow that was admitted before is a retransmission:
        it gets the same reply again.
        """
        flow = self.backend.table.get(packet.key)
        if flow is not None or self.backend.policy.holds(packet.key):
            self._repeat_reply(now, packet, flow, balancer)
            return
        reason = self._refusal_reason(now, message, packet)
        if reason == _EVACUATED:
            self.counters.incr('refused_evacuated')
            notice = _evacuation_notice(self.backend)
            self.senders.to_balancer(notice.encode(), balancer)
        if reason:
            self._send_refusal(now, packet.key, balancer, reason)
            return
        new_flow = NewFlow(
            key=packet.key,
            raw=packet.raw,
            arrived_at=now,
            target_ms=message.target_ms,
            timeout_ms=message.timeout_ms,
            priority=message.priority,
            waited_ms=max(message.waited_ms, first_packet_age_ms(packet)),
            is_last=message.is_last,
            sender=balancer,
        )
        self._admit(now, new_flow, packet)

    def start_waiting_flows(self, now: float) -> None:
        """Deliver waiting flows while slots are free."""
        backend = self.backend
        while backend.policy.waiting:
            if not backend.may_start(now):
                self._return_late_flows(now)
                return
            busy = backend.table.busy_slots(now)
            new_flow = backend.policy.next_ready(
                now,
                busy,
                backend.slots,
                backend.service_ms(now),
            )
            if new_flow is None:
                return
            self._start(now, new_flow, self.codec.from_client(new_flow.raw))
            self._log(now, 'start-waited', new_flow, busy)

    def expire_waiting_flows(self, now: float) -> None:
        """Reset waiting flows that can no longer be served in time.

        Their first packets have not been delivered to the server.
        """
        backend = self.backend
        service_ms = backend.service_ms(now)
        for new_flow in backend.policy.expire(now, service_ms):
            self.counters.incr('given_up')
            reset = self.codec.build_reset(new_flow.key, 0)
            self.senders.to_client(reset, new_flow.key)
            self._log(now, 'given-up', new_flow, backend.table.busy_slots(now))

    def return_waiting_flows(self, now: float) -> None:
        """Refuse all waiting flows and return them to their balancers."""
        self._return_flows(now, self.backend.policy.clear())

    def return_new_flow(self, now: float, flow: BackendFlow) -> None:
        """Return the first packet of a flow whose server was lost.

        The balancer then places the flow at another server. Nothing is
        returned if the lost server had answered the first packet: the flow
        may be open at another server that received a copy.
        """
        if flow.first_sequence is None:
            packet = self.codec.from_client(flow.first_packet_raw)
            self.send_flow_status(
                now,
                flow.key,
                FlowStatus.REFUSED,
                flow.balancer,
                packet,
            )

    def send_flow_status(
        self,
        now: float,
        key: FlowKey,
        status: FlowStatus,
        balancer: SocketAddress,
        packet: Packet | None = None,
    ) -> None:
        """Send the status of a flow, with the current load, to a balancer.

        ``packet`` is returned to the balancer along with the status.
        """
        raw = b'' if packet is None else packet.raw
        reply = FlowReply(key, status, self.backend.load(now), raw)
        self.senders.to_balancer(reply.encode(), balancer)

    def deliver(self, packet: Packet, mark: int = 0) -> None:
        """Send a packet to the server with the given hop mark."""
        raw = packet.raw
        if mark or packet.hop_mark:
            raw = self.codec.with_hop_mark(raw, mark)
        self.senders.to_backend(raw)

    def reply_not_owned(
        self,
        now: float,
        packet: Packet,
        balancer: SocketAddress,
    ) -> None:
        """Return a packet whose flow this server doesn't hold."""
        self.send_flow_status(
            now,
            packet.key,
            FlowStatus.NOT_OWNED,
            balancer,
            packet,
        )

    def record_malformed(self, exc: WireError) -> None:
        """Count and log a packet that can't be decoded."""
        self.counters.incr('dropped_malformed')
        logger.debug('packet-malformed', extra={'reason': exc.message})

    def _refusal_reason(
        self,
        now: float,
        message: AdmissionRequest,
        packet: Packet,
    ) -> str:
        """Return why a new flow is not admissible, or an empty string."""
        backend = self.backend
        if message.service != backend.service:
            return 'wrong-service'
        routes = backend.view.routes
        if routes.version >= message.version:
            route = routes.find(packet.key)
            services = () if route is None else route.services
            if not any(service.name == backend.service for service in services):
                return 'route-changed'
        if backend.is_evacuated:
            return _EVACUATED
        state = backend.state(now)
        if state is BackendState.FULL and not backend.may_start(now):
            self.counters.incr('refused_warmup')
            return WARMUP_REFUSAL
        if state is not BackendState.SERVING:
            return state.name.lower()
        # A flow that may be queued is admitted: all other servers are busy,
        # or suspected as well.
        is_avoided = backend.failures.is_avoided(now) and not message.is_last
        return 'suspected' if is_avoided else ''

    def _admit(self, now: float, new_flow: NewFlow, packet: Packet) -> None:
        backend = self.backend
        busy = backend.table.busy_slots(now)
        decision = backend.policy.decide(
            now,
            new_flow,
            busy,
            backend.slots,
            backend.service_ms(now),
        )
        for displaced in backend.policy.take_displaced():
            self.counters.incr('displaced')
            self._return_flows(now, [displaced])
            self._log(now, 'displaced', displaced, busy)
        if decision is AdmissionDecision.REFUSE:
            self._send_refusal(
                now,
                packet.key,
                new_flow.sender,
                'no-slot-in-time',
                # The balancer offers the flow to other servers.
                logging.INFO if new_flow.is_last else logging.DEBUG,
            )
            return
        if decision is AdmissionDecision.START:
            self._start(now, new_flow, packet)
        self.send_flow_status(
            now,
            packet.key,
            FlowStatus.ACCEPTED,
            new_flow.sender,
        )
        self._log(now, decision.value, new_flow, busy)

    def _start(self, now: float, new_flow: NewFlow, packet: Packet) -> None:
        self.backend.table.add_new(now, packet, new_flow.sender)
        self.backend.record_start(now)
        self.counters.observe('wait', new_flow.age_ms(now) / MS_PER_S)
        self.deliver(packet)

    def _repeat_reply(
        self,
        now: float,
        packet: Packet,
        flow: BackendFlow | None,
        balancer: SocketAddress,
    ) -> None:
        if flow is not None:
            flow.balancer = balancer
            if self._may_deliver_copy(now, flow):
                self.deliver(packet)
        self.send_flow_status(now, packet.key, FlowStatus.ACCEPTED, balancer)

    def _may_deliver_copy(self, now: float, flow: BackendFlow) -> bool:
        """Return whether a retransmitted first packet may be delivered.

        To a server that has not answered it, or that has ended the flow, the
        copy may be a new flow.
        """
        is_answered = flow.first_sequence is not None
        if flow.phase is FlowPhase.OPEN:
            return True
        if flow.phase is FlowPhase.HANDSHAKE and is_answered:
            return True
        if not self.backend.may_start(now):
            return False
        self.backend.record_start(now)
        return True

    def _return_late_flows(self, now: float) -> None:
        """Return waiting flows that the warm-up rate would start too late."""
        backend = self.backend
        opens_at = backend.next_start_at(now)
        late = backend.policy.expire(opens_at, backend.service_ms(now))
        self._return_flows(now, late)
        for new_flow in late:
            self.counters.incr('returned_warmup')
            self._log(now, 'returned', new_flow, backend.table.busy_slots(now))

    def _return_flows(self, now: float, new_flows: list[NewFlow]) -> None:
        for new_flow in new_flows:
            packet = self.codec.from_client(new_flow.raw)
            self.send_flow_status(
                now,
                new_flow.key,
                FlowStatus.REFUSED,
                new_flow.sender,
                packet,
            )

    def _send_refusal(
        self,
        now: float,
        key: FlowKey,
        balancer: SocketAddress,
        reason: str,
        level: int = logging.INFO,
    ) -> None:
        self.counters.incr('refused')
        self.send_flow_status(now, key, FlowStatus.REFUSED, balancer)
        if not logger.isEnabledFor(level):
            return
        backend = self.backend
        logger.log(
            level,
            'opening-refused',
            extra={
                'flow': flow_name(key),
                'reason': reason,
                'busy': backend.table.busy_slots(now),
                'waiting': backend.policy.waiting,
                'slots': backend.slots,
                'version': backend.view.routes.version,
                'revision': backend.view.revision,
            },
        )

    def _log(
        self,
        now: float,
        outcome: str,
        new_flow: NewFlow,
        busy: int,
    ) -> None:
        backend = self.backend
        age_ms = new_flow.age_ms(now)
        is_routine = (
            outcome in _ROUTINE_OUTCOMES
            and age_ms < new_flow.target_ms * ROUTINE_TARGET_SHARE
        )
        level = logging.DEBUG if is_routine else logging.INFO
        if not logger.isEnabledFor(level):
            return
        logger.log(
            level,
            'opening-decided',
            extra={
                'flow': flow_name(new_flow.key),
                'outcome': outcome,
                'age_ms': int(age_ms),
                'busy': busy,
                'slots': backend.slots,
                'waiting': backend.policy.waiting,
                'service_ms': int(backend.service_ms(now)),
                'version': backend.view.routes.version,
                'revision': backend.view.revision,
            },
        )


def _evacuation_notice(backend: BackendTracker) -> ChangeNotice:
    """Return a notice for a balancer that doesn't know of an evacuation.

    It confirms nothing else, so it has the greatest age.
    """
    evacuations = backend.view.evacuations
    record = evacuations.find(backend.data_center)
    revision = 0 if record is None else record.revision
    return ChangeNotice(
        base=revision,
        revision=revision,
        version=backend.view.routes.version,
        age_ms=MAX_NOTICE_AGE_MS,
        records=(),
        removed=encode_evacuations(() if record is None else (record,)),
    )
