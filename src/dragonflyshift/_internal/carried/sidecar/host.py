"""The sidecar's packet path for carried flows."""

__all__ = ('FlowHost',)

import logging

from attrs import define, field

from dragonflyshift._internal.carried.flow_names import flow_name
from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import (
    Packet,
    PacketCodec,
    SocketAddress,
)
from dragonflyshift._internal.carried.sidecar.admission import (
    FlowAdmission,
    HostPorts,
)
from dragonflyshift._internal.carried.sidecar.condition import (
    BackendCondition,
)
from dragonflyshift._internal.carried.sidecar.flows import (
    FlowPhase,
    HostedFlow,
)
from dragonflyshift._internal.carried.sidecar.pace import ServicePace
from dragonflyshift._internal.carried.sidecar.reports import LoadReporter
from dragonflyshift._internal.carried.sidecar.strangers import (
    QUESTION_MARK,
    Questions,
)
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import WireError

logger = logging.getLogger(__name__)

MS_PER_S = 1000
_NO_BALANCER: SocketAddress = ('', 0)


@define(eq=False, repr=False)
class FlowHost:
    """Own the flows of one backend server."""

    condition: BackendCondition
    codec: PacketCodec
    ports: HostPorts
    counters: Counters
    admission: FlowAdmission = field(init=False)
    reporter: LoadReporter = field(init=False)
    _questions: Questions = field(factory=Questions)

    def __attrs_post_init__(self) -> None:
        """Wire the parts."""
        self.admission = FlowAdmission(
            self.condition,
            self.codec,
            self.ports,
            self.counters,
        )
        self.reporter = LoadReporter(
            self.condition.load,
            self.ports.to_balancer,
        )

    def on_open(
        self, now: float, message: AdmissionRequest, balancer: SocketAddress
    ) -> None:
        """Decide on a new flow."""
        packet = self._decode_client(message.raw)
        if packet is None:
            return
        if message.is_local:
            self.reporter.note_interest(now, balancer)
        self.condition.slots = max(1, message.slots)
        self.admission.decide(now, message, packet, balancer)

    def on_carry(
        self, now: float, message: ForwardedPacket, balancer: SocketAddress
    ) -> None:
        """Deliver a later packet of a flow."""
        packet = self._decode_client(message.raw)
        if packet is None:
            return
        flow = self.condition.table.get(packet.key)
        if flow is None:
            self._deliver_unknown(now, packet, balancer, message.service)
        elif flow.belongs_here(packet.acknowledged):
            flow.balancer = balancer
            self.condition.table.client_sent(now, flow, packet)
            self.admission.deliver(packet)
        else:
            self.admission.disown(now, packet, balancer)

    def on_ask(
        self, now: float, message: OwnershipQuery, balancer: SocketAddress
    ) -> None:
        """Tell a balancer whether a flow lives here."""
        flow = self.condition.table.get(message.key)
        if flow is not None and flow.belongs_here(message.acknowledged):
            verdict = FlowStatus.OWNED
        elif self._knows_all():
            verdict = FlowStatus.NOT_OWNED
        else:
            verdict = FlowStatus.UNSURE
        self.admission.answer(now, message.key, verdict, balancer)

    def backend_packet(self, now: float, raw: bytes) -> None:
        """Take a packet that the backend server sent or bounced."""
        try:
            packet = self.codec.from_backend(raw)
        except WireError as exc:
            self.admission.malformed(exc)
            return
        self.condition.seen_at = now
        if packet.is_bounced:
            self._bounced(now, packet)
            return
        self.ports.to_client(raw, packet.key)
        table = self.condition.table
        flow = table.get(packet.key) or self._adopt(now, packet)
        if packet.is_syn:
            self.condition.note_opened()
        ran_for = table.server_sent(now, flow, packet)
        if ran_for is not None:
            self.condition.pace.note(ran_for)
            self.counters.observe('service', ran_for)
        self.admission.start_waiting(now)
        self.reporter.report_change(now)

    def tick(self, now: float) -> None:
        """Start, expire and report."""
        self.admission.start_waiting(now)
        self.admission.expire(now)
        self.reporter.report_change(now)

    def sweep(self, now: float) -> None:
        """Drop what is old."""
        idle_ms = self.condition.view.routes.idle_timeout_ms
        self.condition.table.sweep(now, idle_ms / MS_PER_S)
        self._questions.sweep(now)
        self.reporter.sweep(now)

    def view_changed(self, now: float) -> None:
        """Act on what the view says of this backend server."""
        self.condition.read_register()
        if self.condition.state(now) is not BackendState.SERVING:
            self.admission.hand_back(now)
        self.reporter.report_change(now)

    def leave(self, now: float) -> None:
        """Take no new flow from now on."""
        self.condition.is_stopping = True
        self.admission.hand_back(now)
        self.reporter.report_change(now)

    def backend_lost(self, now: float) -> None:
        """Reset all flows: the server that held them has ended."""
        self.condition.is_down = True
        lost = self.condition.table.open_flows()
        logger.warning('backend-lost', extra={'flows': len(lost)})
        for flow in lost:
            if flow.phase is FlowPhase.OPEN:
                self._reset(flow, 'backend-lost')
            else:
                self.condition.table.remove(flow.key)
                self.admission.return_opening(now, flow)
        self.condition.knows_all = True
        self.admission.hand_back(now)
        self.reporter.report_change(now)

    def backend_found(self, now: float) -> None:
        """Take note that the server accepts connections again."""
        self.condition.is_down = False
        self.condition.pace = ServicePace()
        logger.info('backend-found')
        self.reporter.report_change(now)

    def _knows_all(self) -> bool:
        return self.condition.knows_all or self.condition.is_down

    def _deliver_unknown(
        self,
        now: float,
        packet: Packet,
        balancer: SocketAddress,
        service: str,
    ) -> None:
        is_foreign = service not in ('', self.condition.service)
        if is_foreign or packet.is_first or self._knows_all():
            self.admission.disown(now, packet, balancer)
            return
        self._questions.ask(now, packet.key, balancer)
        self.counters.incr('questions')
        self.admission.deliver(packet, QUESTION_MARK)

    def _adopt(self, now: float, packet: Packet) -> HostedFlow:
        """Take over a flow that the server holds and this process forgot."""
        question = self._questions.answered(packet.key)
        balancer = _NO_BALANCER if question is None else question.balancer
        flow = self.condition.table.adopt(now, packet.key, balancer)
        self.counters.incr('adopted')
        if question is not None:
            self.admission.answer(now, packet.key, FlowStatus.OWNED, balancer)
        logger.info(
            'flow-adopted',
            extra={
                'flow': flow_name(packet.key),
                'asked': question is not None,
            },
        )
        return flow

    def _bounced(self, now: float, packet: Packet) -> None:
        """Act on a client's packet that the server doesn't take."""
        self.counters.incr('bounced')
        question = self._questions.answered(packet.key)
        flow = self.condition.table.get(packet.key)
        if question is not None and packet.hop_mark == QUESTION_MARK:
            self.admission.answer(
                now,
                packet.key,
                FlowStatus.NOT_OWNED,
                question.balancer,
            )
        elif flow is not None and flow.phase is FlowPhase.OPENING:
            self._opening_bounced(now, flow, packet)
        elif flow is not None and flow.phase is FlowPhase.OPEN:
            if not packet.is_first:
                self._reset(flow, 'flow-unknown-to-server')

    def _opening_bounced(
        self,
        now: float,
        flow: HostedFlow,
        packet: Packet,
    ) -> None:
        """Have the balancer go on with a flow that didn't open here."""
        self.condition.table.remove(flow.key)
        raw = self.codec.with_hop_mark(packet.raw, 0)
        original = self.codec.from_client(raw)
        if not packet.is_first:
            # The client took the answer of another server.
            self.admission.disown(now, original, flow.balancer)
            return
        self.condition.note_full(now)
        self.admission.answer(
            now,
            flow.key,
            FlowStatus.REFUSED,
            flow.balancer,
            original,
        )
        logger.info(
            'opening-bounced',
            extra={
                'flow': flow_name(flow.key),
                'busy': self.condition.table.busy(now),
            },
        )

    def _reset(self, flow: HostedFlow, reason: str) -> None:
        self.condition.table.remove(flow.key)
        self.counters.incr('resets')
        reset = self.codec.build_reset(flow.key, flow.acknowledged)
        self.ports.to_client(reset, flow.key)
        logger.info(
            'flow-reset',
            extra={'flow': flow_name(flow.key), 'reason': reason},
        )

    def _decode_client(self, raw: bytes) -> Packet | None:
        try:
            return self.codec.from_client(raw)
        except WireError as exc:
            self.admission.malformed(exc)
        return None
