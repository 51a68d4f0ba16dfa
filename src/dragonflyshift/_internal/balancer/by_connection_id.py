"""Steering without flow state, by what the packet itself says.

An issued connection id names its sidecar; the first packets of a new flow
are hashed over the endpoints.
"""

from dragonflyshift._internal.balancer.steering import (
    Decision,
    Steering,
    Verdict,
)
from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.wire.quic_header import (
    MIN_INITIAL_BYTES,
    HeaderForm,
    read_header,
)


class ConnectionIdSteering(Steering, name='connection-id'):
    """Steer packets by connection id, new flows by candidate choice."""

    def decide(
        self,
        service: ServiceDocument,
        packet: bytes,
        client: Address,
    ) -> Decision:
        """Return where a packet to ``service`` goes."""
        try:
            header = read_header(packet)
        except WireError:
            return Decision(Verdict.MALFORMED)
        issued = self.context.codec.decode(header.destination)
        if issued is not None and issued.tag == service.tag:
            return Decision(Verdict.OWNED, issued.address)
        if header.form is HeaderForm.SHORT or header.version == 0:
            return Decision(Verdict.FOREIGN_ID)
        if len(packet) < MIN_INITIAL_BYTES:
            return Decision(Verdict.TOO_SHORT)
        return self.place(service, header.destination)
