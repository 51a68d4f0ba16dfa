"""The balancer's packet path: steer and wrap, unwrap and return.

Nothing here outlives a packet but counters and the view of endpoints.
"""

import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.balancer.steering import (
    Decision,
    Steering,
    Verdict,
)
from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.exceptions import MembershipError, WireError
from dragonflyshift._internal.membership import reported_view_hash
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.models.documents import service_key
from dragonflyshift._internal.telemetry import Metrics, Tracing, trace_id_for
from dragonflyshift._internal.wire import DatagramCodec, Forward, Kind, Reply

logger = logging.getLogger(__name__)

VersionHeard = Callable[[str, int, Address], None]
Sender = Callable[[bytes, Address], None]
ClientSender = Callable[[Address, bytes, Address], None]


@define
class ForwarderPorts:
    """How the forwarder sends and whom it tells of versions.

    ``to_sidecar(datagram, sidecar)`` and ``to_client(service, packet,
    client)`` send; ``version_heard(key, version, peer)`` is called when a
    sidecar holds a newer document.
    """

    to_sidecar: Sender
    to_client: ClientSender
    version_heard: VersionHeard


@define
class Forwarder:
    """Carry packets between clients and sidecars."""

    address: Address
    codec: DatagramCodec
    steering: Steering
    views: ServiceViews
    store: ConfigurationStore
    metrics: Metrics
    tracing: Tracing
    ports: ForwarderPorts
    leaving: bool = field(default=False)

    def client_packet(
        self,
        service_address: Address,
        packet: bytes,
        client: Address,
    ) -> None:
        """Steer a client's packet to a sidecar, or drop and count it."""
        service = self.store.service_by_address(service_address)
        if service is None:
            self.metrics.incr('dropped.no-service')
            return
        decision = self.steering.decide(service, packet, client)
        if decision.target is None:
            self.metrics.incr(f'dropped.{decision.verdict}')
            return
        if decision.verdict is Verdict.NEW_FLOW:
            self._note_new_flow(service, decision)
        forward = Forward(
            tag=service.tag,
            client=client,
            service=service_address,
            balancer=self.address,
            packet=packet,
            second=decision.second,
            leaving=self.leaving,
            digest_hash=reported_view_hash(self.views.table(service.tag)),
            version=service.version,
        )
        datagram = self.codec.seal(Kind.FORWARD, forward.encode())
        self.metrics.incr('forwarded')
        self.ports.to_sidecar(datagram, decision.target)

    def sidecar_datagram(self, datagram: bytes, sidecar: Address) -> None:
        """Return a sidecar's packet to its client, and learn from it."""
        try:
            reply = self._open(datagram)
        except WireError as exc:
            self.metrics.incr('dropped.unauthentic')
            logger.debug('datagram-refused', extra={'reason': exc.message})
            return
        self.views.heard(sidecar)
        self._learn(reply, sidecar)
        if not reply.packet:
            return
        service = self.store.service_by_address(reply.service)
        if service is None or service.tag != reply.tag:
            self.metrics.incr('dropped.wrong-service')
            return
        self.metrics.incr('returned')
        self.ports.to_client(reply.service, reply.packet, reply.client)

    def _open(self, datagram: bytes) -> Reply:
        opened = self.codec.open(datagram)
        if opened.kind is not Kind.REPLY:
            raise WireError(f'a balancer takes no {opened.kind.name}')
        return Reply.decode(opened.body)

    def _learn(self, reply: Reply, sidecar: Address) -> None:
        service = self.store.service_by_tag(reply.tag)
        if service is None:
            return
        if reply.version > service.version:
            key = service_key(service.name)
            self.ports.version_heard(key, reply.version, sidecar)
        try:
            self.views.merge(reply.tag, reply.digest)
        except MembershipError as exc:
            self.metrics.incr('dropped.digest')
            logger.warning('digest-refused', extra={'reason': exc.message})

    def _note_new_flow(
        self,
        service: ServiceDocument,
        decision: Decision,
    ) -> None:
        self.metrics.incr('new-flows')
        if decision.target is not None:
            self.views.forwarded_new(decision.target)
        if not self.tracing.enabled:
            return
        trace_id = trace_id_for(decision.flow_key)
        attributes = {
            'service': service.name,
            'endpoint': str(decision.target),
        }
        with self.tracing.start_span('steer', trace_id, 0, attributes):
            logger.debug('flow-steered', extra=attributes)
