"""Packet path of a sidecar for carried flows."""

__all__ = ('FlowHandler',)

import logging

from attrs import define, field

from dragonflyshift._internal.carried.load import BackendState
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    FlowStatus,
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    PacketCodec,
    SocketAddress,
    flow_name,
)
from dragonflyshift._internal.carried.sidecar.admission import (
    FlowAdmission,
    PacketSenders,
)
from dragonflyshift._internal.carried.sidecar.backend_tracker import (
    BackendTracker,
)
from dragonflyshift._internal.carried.sidecar.flow_probes import (
    PROBE_MARK,
    FlowProbes,
)
from dragonflyshift._internal.carried.sidecar.flows import (
    BackendFlow,
    FlowPhase,
)
from dragonflyshift._internal.carried.sidecar.reports import LoadReporter
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import WireError

logger = logging.getLogger(__name__)

MS_PER_S = 1000
_NO_BALANCER: SocketAddress = ('', 0)


@define(eq=False, repr=False)
class FlowHandler:
    """Handles the packets and flows of one backend server.

    It admits new flows, delivers client packets to the server, forwards the
    server's packets to the clients and replies to ownership queries. Times are
    in monotonic seconds.
    """

    backend: BackendTracker
    codec: PacketCodec
    senders: PacketSenders
    counters: Counters
    admission: FlowAdmission = field(init=False)
    reporter: LoadReporter = field(init=False)
    _probes: FlowProbes = field(factory=FlowProbes)

    def __attrs_post_init__(self) -> None:
        """Create the admission and the load reporter."""
        self.counters.gauge('suspected', self.backend.failures.is_suspected)
        self.admission = FlowAdmission(
            self.backend,
            self.codec,
            self.senders,
            self.counters,
        )
        self.reporter = LoadReporter(
            self.backend.load,
            self.senders.to_balancer,
            self.backend.failures.is_avoided,
        )

    def on_admission_request(
        self,
        now: float,
        message: AdmissionRequest,
        balancer: SocketAddress,
    ) -> None:
        """Admit or refuse the new flow of a balancer's message."""
        packet = self._decode_client(message.raw)
        if packet is None:
            return
        if message.is_local:
            self.reporter.add_recipient(now, balancer)
        self.backend.slots = max(1, message.slots)
        self.admission.decide(now, message, packet, balancer)

    def on_forwarded_packet(
        self,
        now: float,
        message: ForwardedPacket,
        balancer: SocketAddress,
    ) -> None:
        """Deliver a packet that follows the first one of its flow.

        The packet of an unowned flow is returned to the balancer, or is
        delivered as a flow probe while the server may hold unknown flows. A
        packet for another service is never delivered.
        """
        packet = self._decode_client(message.raw)
        if packet is None:
            return
        flow = self.backend.table.get(packet.key)
        if flow is None:
            self._handle_unknown_flow(now, packet, balancer, message.service)
        elif flow.matches_ack(packet.acknowledged):
            flow.balancer = balancer
            self.backend.table.on_client_packet(now, flow, packet)
            self.admission.deliver(packet)
            self.backend.failures.record_outcomes(
                now, self.backend.slots, self.counters
            )
        else:
            self.admission.reply_not_owned(now, packet, balancer)

    def on_ownership_query(
        self,
        now: float,
        message: OwnershipQuery,
        balancer: SocketAddress,
    ) -> None:
        """Reply whether this sidecar owns a flow, or may own it."""
        flow = self.backend.table.get(message.key)
        if flow is not None and flow.matches_ack(message.acknowledged):
            status = FlowStatus.OWNED
        elif _lacks(self.backend, self._probes, message.key):
            status = FlowStatus.NOT_OWNED
        else:
            status = FlowStatus.UNSURE
        self.admission.send_flow_status(now, message.key, status, balancer)

    def on_backend_packet(self, now: float, raw: bytes) -> None:
        """Handle a packet that the backend server sent or bounced."""
        try:
            packet = self.codec.from_backend(raw)
        except WireError as exc:
            self.admission.record_malformed(exc)
            return
        self.backend.last_packet_at = now
        if packet.is_bounced:
            self._on_bounced_packet(now, packet)
            return
        self.senders.to_client(raw, packet.key)
        table = self.backend.table
        flow = table.get(packet.key) or self._adopt(now, packet)
        if packet.is_syn:
            self.backend.reset_bounce_backoff()
        service_s = table.on_server_packet(now, flow, packet)
        if service_s is not None:
            self.backend.failures.record_service(
                packet.key, service_s, flow.answer_s
            )
            self.counters.observe('service', service_s)
        self.backend.failures.record_outcomes(
            now, self.backend.slots, self.counters
        )
        self.admission.start_waiting_flows(now)
        self.reporter.report_change(now)

    def tick(self, now: float) -> None:
        """Check running requests and waiting flows, and report the load."""
        self.backend.failures.check_requests(
            now, self.backend.slots, self.counters
        )
        self.admission.start_waiting_flows(now)
        self.admission.expire_waiting_flows(now)
        self.reporter.report_change(now)

    def sweep(self, now: float) -> None:
        """Remove ended and idle flows, old probes and report recipients."""
        idle_ms = self.backend.view.routes.idle_timeout_ms
        self.backend.table.sweep(now, idle_ms / MS_PER_S)
        self._probes.sweep(now)
        if self.backend.knows_all:
            self._probes.forget_bounced()
        self.reporter.sweep(now)

    def view_changed(self, now: float) -> None:
        """Apply the server's endpoint record after a change of the view."""
        self.backend.apply_endpoint_record()
        if self.backend.state(now) is not BackendState.SERVING:
            self.admission.return_waiting_flows(now)
        self.reporter.report_change(now)

    def leave(self, now: float) -> None:
        """Refuse new flows from now on and return the waiting ones."""
        self.backend.is_stopping = True
        self.admission.return_waiting_flows(now)
        self.reporter.report_change(now)

    def on_backend_lost(self, now: float) -> None:
        """Reset the open flows of a server that has stopped listening.

        A flow in its handshake is returned to its balancer instead, unless
        the server had answered it.
        """
        self.backend.is_down = True
        live_flows = self.backend.table.live_flows()
        logger.warning('backend-lost', extra={'flows': len(live_flows)})
        for flow in live_flows:
            if flow.phase is FlowPhase.OPEN:
                self._reset_flow(flow, 'backend-lost')
            else:
                self.backend.table.remove(flow.key)
                self.admission.return_new_flow(now, flow)
        self.backend.knows_all = True
        self.admission.return_waiting_flows(now)
        self.reporter.report_change(now)

    def on_backend_found(self, now: float) -> None:
        """Accept new flows again, since the server accepts connections.

        The measurements of the server start anew.
        """
        self.backend.is_down = False
        self.backend.restart_measurements()
        self.backend.record_found(now)
        logger.info('backend-found')
        self.reporter.report_change(now)

    def _handle_unknown_flow(
        self,
        now: float,
        packet: Packet,
        balancer: SocketAddress,
        service: str,
    ) -> None:
        if packet.is_first or _lacks(self.backend, self._probes, packet.key):
            self.admission.reply_not_owned(now, packet, balancer)
            return
        if service not in ('', self.backend.service):
            # The server may hold the flow nevertheless: the balancer may have
            # the service of an earlier server at this address.
            self.admission.send_flow_status(
                now, packet.key, FlowStatus.UNSURE, balancer, packet
            )
            return
        self._probes.add(now, packet.key, balancer)
        self.counters.incr('questions')
        self.admission.deliver(packet, PROBE_MARK)

    def _adopt(self, now: float, packet: Packet) -> BackendFlow:
        """Add a flow that the server holds and the flow table lacks."""
        probe = self._probes.pop(packet.key)
        self._probes.forget_bounced(packet.key)
        balancer = _NO_BALANCER if probe is None else probe.balancer
        # The client may accept another server's answer to a first packet.
        phase = FlowPhase.HANDSHAKE if packet.is_syn else FlowPhase.OPEN
        flow = self.backend.table.adopt(now, packet.key, balancer, phase)
        if packet.is_syn:
            # It reached the server through an earlier process of this sidecar.
            self.backend.record_start(now)
        self.counters.incr('adopted')
        if probe is not None:
            self.admission.send_flow_status(
                now,
                packet.key,
                FlowStatus.OWNED,
                balancer,
            )
        logger.info(
            'flow-adopted',
            extra={
                'flow': flow_name(packet.key),
                'asked': probe is not None,
            },
        )
        return flow

    def _on_bounced_packet(self, now: float, packet: Packet) -> None:
        """Handle a client's packet that the server bounced."""
        self.counters.incr('bounced')
        probe = self._probes.pop(packet.key)
        flow = self.backend.table.get(packet.key)
        if packet.hop_mark == PROBE_MARK and (probe or not flow):
            self._probes.record_bounce(packet.key)
            if probe is not None:
                self.admission.send_flow_status(
                    now, packet.key, FlowStatus.NOT_OWNED, probe.balancer
                )
        elif flow is not None:
            self._on_flow_bounced(now, flow, packet)

    def _on_flow_bounced(
        self, now: float, flow: BackendFlow, packet: Packet
    ) -> None:
        if flow.phase is FlowPhase.HANDSHAKE:
            self._on_handshake_packet_bounced(now, flow, packet)
        elif flow.phase is FlowPhase.OPEN and not packet.is_first:
            self._reset_flow(flow, 'flow-unknown-to-server')

    def _on_handshake_packet_bounced(
        self,
        now: float,
        flow: BackendFlow,
        packet: Packet,
    ) -> None:
        """Return a bounced packet of a flow that has not opened here."""
        self.backend.table.remove(flow.key)
        raw = self.codec.with_hop_mark(packet.raw, 0)
        original = self.codec.from_client(raw)
        if not packet.is_first:
            # The client accepted the answer of another server.
            self.admission.reply_not_owned(now, original, flow.balancer)
            return
        self.backend.record_bounce(now)
        self.admission.send_flow_status(
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
                'busy': self.backend.table.busy_slots(now),
            },
        )

    def _reset_flow(self, flow: BackendFlow, reason: str) -> None:
        self.backend.table.remove(flow.key)
        self.counters.incr('resets')
        reset = self.codec.build_reset(flow.key, flow.acknowledged)
        self.senders.to_client(reset, flow.key)
        logger.info(
            'flow-reset',
            extra={'flow': flow_name(flow.key), 'reason': reason},
        )

    def _decode_client(self, raw: bytes) -> Packet | None:
        try:
            return self.codec.from_client(raw)
        except WireError as exc:
            self.admission.record_malformed(exc)
        return None


def _lacks(backend: BackendTracker, probes: FlowProbes, key: FlowKey) -> bool:
    """Return whether a server certainly lacks a flow that its table lacks."""
    return backend.knows_all or backend.is_down or probes.is_bounced(key)
