"""The balancer's packet path between clients and sidecars.

No state is kept between packets except counters and the view of endpoints.
"""

import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.balancer.steering import (
    Steering,
    SteeringDecision,
    SteeringResult,
)
from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.exceptions import MembershipError, WireError
from dragonflyshift._internal.membership import reported_view_hash
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.models.documents import service_key
from dragonflyshift._internal.telemetry import Metrics, Tracing, trace_id_for
from dragonflyshift._internal.wire import (
    DatagramCodec,
    DatagramKind,
    ForwardEnvelope,
    ReplyEnvelope,
)

logger = logging.getLogger(__name__)

NewVersionCallback = Callable[[str, int, Address], None]
SidecarSender = Callable[[bytes, Address], None]
ClientSender = Callable[[Address, bytes, Address], None]


@define
class ForwarderCallbacks:
    """Callbacks with which the forwarder sends and reports versions.

    ``to_sidecar(datagram, sidecar)`` and ``to_client(service, packet,
    client)`` send a packet. ``on_newer_version(key, version, peer)`` is
    called when a sidecar holds a newer service document.
    """

    to_sidecar: SidecarSender
    to_client: ClientSender
    on_newer_version: NewVersionCallback


@define
class Forwarder:
    """Forwards packets between clients and sidecars.

    ``leaving`` is set while the balancer shuts down; sidecars then send their
    replies through other balancers.
    """

    address: Address
    codec: DatagramCodec
    steering: Steering
    views: ServiceViews
    store: ConfigurationStore
    metrics: Metrics
    tracing: Tracing
    callbacks: ForwarderCallbacks
    leaving: bool = field(default=False)

    def forward_client_packet(
        self,
        service_address: Address,
        packet: bytes,
        client: Address,
    ) -> None:
        """Forward a client's packet to a sidecar, or drop and count it."""
        service = self.store.service_by_address(service_address)
        if service is None:
            self.metrics.incr('dropped.no-service')
            return
        decision = self.steering.decide(service, packet, client)
        if decision.target is None:
            self.metrics.incr(f'dropped.{decision.result}')
            return
        if decision.result is SteeringResult.NEW_FLOW:
            self._record_new_flow(service, decision)
        forward = ForwardEnvelope(
            tag=service.tag,
            client=client,
            service=service_address,
            balancer=self.address,
            packet=packet,
            second_candidate=decision.second_candidate,
            leaving=self.leaving,
            digest_hash=reported_view_hash(self.views.table(service.tag)),
            version=service.version,
        )
        datagram = self.codec.seal(DatagramKind.FORWARD, forward.encode())
        self.metrics.incr('forwarded')
        self.callbacks.to_sidecar(datagram, decision.target)

    def handle_sidecar_datagram(
        self, datagram: bytes, sidecar: Address
    ) -> None:
        """Return a sidecar's packet to its client.

        The version and digest in the datagram update the balancer's view.
        """
        try:
            reply = self._open_reply(datagram)
        except WireError as exc:
            self.metrics.incr('dropped.unauthentic')
            logger.debug('datagram-refused', extra={'reason': exc.message})
            return
        self.views.record_datagram(sidecar)
        self._apply_reply_metadata(reply, sidecar)
        if not reply.packet:
            return
        service = self.store.service_by_address(reply.service)
        if service is None or service.tag != reply.tag:
            self.metrics.incr('dropped.wrong-service')
            return
        self.metrics.incr('returned')
        self.callbacks.to_client(reply.service, reply.packet, reply.client)

    def _open_reply(self, datagram: bytes) -> ReplyEnvelope:
        opened = self.codec.open(datagram)
        if opened.kind is not DatagramKind.REPLY:
            raise WireError(
                f'balancer received a {opened.kind.name} datagram, '
                f'expected {DatagramKind.REPLY.name}'
            )
        return ReplyEnvelope.decode(opened.body)

    def _apply_reply_metadata(
        self, reply: ReplyEnvelope, sidecar: Address
    ) -> None:
        service = self.store.service_by_tag(reply.tag)
        if service is None:
            return
        if reply.version > service.version:
            key = service_key(service.name)
            self.callbacks.on_newer_version(key, reply.version, sidecar)
        try:
            self.views.merge(reply.tag, reply.digest)
        except MembershipError as exc:
            self.metrics.incr('dropped.digest')
            logger.warning('digest-refused', extra={'reason': exc.message})

    def _record_new_flow(
        self,
        service: ServiceDocument,
        decision: SteeringDecision,
    ) -> None:
        self.metrics.incr('new-flows')
        if decision.target is not None:
            self.views.record_new_flow(decision.target)
        if not self.tracing.enabled:
            return
        trace_id = trace_id_for(decision.flow_key)
        attributes = {
            'service': service.name,
            'endpoint': str(decision.target),
        }
        with self.tracing.start_span('steer', trace_id, 0, attributes):
            logger.debug('flow-steered', extra=attributes)
