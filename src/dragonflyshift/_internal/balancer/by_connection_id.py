"""Stateless steering by QUIC connection id.

A connection id issued by a sidecar contains that sidecar's address. The first
packets of a new flow carry an id chosen by the client, by which the candidate
sidecars are ranked.
"""

from dragonflyshift._internal.balancer.steering import (
    Steering,
    SteeringDecision,
    SteeringResult,
)
from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.wire.quic_header import (
    MIN_INITIAL_BYTES,
    HeaderForm,
    read_header,
)


class ConnectionIdSteering(Steering, name='connection-id'):
    """Steers packets by connection id and new flows by candidate choice."""

    def decide(
        self,
        service: ServiceDocument,
        packet: bytes,
        client: Address,
    ) -> SteeringDecision:
        """Return the sidecar for a packet, or the reason to drop it."""
        try:
            header = read_header(packet)
        except WireError:
            return SteeringDecision(SteeringResult.MALFORMED)
        issued = self.context.codec.decode(header.destination)
        if issued is not None and issued.tag == service.tag:
            return SteeringDecision(SteeringResult.OWNED, issued.address)
        if header.form is HeaderForm.SHORT or header.version == 0:
            return SteeringDecision(SteeringResult.FOREIGN_ID)
        if len(packet) < MIN_INITIAL_BYTES:
            return SteeringDecision(SteeringResult.TOO_SHORT)
        return self.place_new_flow(service, header.destination)
