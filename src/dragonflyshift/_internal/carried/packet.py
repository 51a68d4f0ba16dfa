"""Packets of carried flows, free of their layout on the wire."""

__all__ = (
    'FLOW_KEY_BYTES',
    'FlowKey',
    'Packet',
    'PacketCodec',
    'SocketAddress',
    'client_host',
)

from abc import ABC, abstractmethod

from attrs import define

# The client's address and port, then the service's, in network byte order.
FlowKey = bytes
FLOW_KEY_BYTES = 12
# Host and port in the form that sockets take.
SocketAddress = tuple[str, int]


def client_host(key: FlowKey) -> str:
    """Return the client's address in dotted form."""
    return '.'.join(str(octet) for octet in key[:4])


@define(eq=False, repr=False)
class Packet:
    """One packet of a flow.

    ``key`` is the same in both directions. ``sequence`` numbers the sender's
    bytes, ``acknowledged`` is the next byte that the sender expects.
    ``hop_mark`` is set by a sidecar and returned by the backend server when
    it bounces the packet. ``raw`` is the datagram.
    """

    key: FlowKey
    is_syn: bool
    is_ack: bool
    is_fin: bool
    is_rst: bool
    is_bounced: bool
    sequence: int
    acknowledged: int
    payload_bytes: int
    hop_mark: int
    raw: bytes

    @property
    def is_first(self) -> bool:
        """Whether a client opens a flow with this packet."""
        return self.is_syn and not self.is_ack


class PacketCodec(ABC):
    """Read and build packets of one wire layout."""

    @abstractmethod
    def from_client(self, raw: bytes) -> Packet:
        """Decode a client's packet; raise WireError when malformed."""

    @abstractmethod
    def from_backend(self, raw: bytes) -> Packet:
        """Decode a packet that a backend server sent or bounced."""

    @abstractmethod
    def marked(self, raw: bytes, hop_mark: int) -> bytes:
        """Return a client's packet with a hop mark and no bounce flag."""

    @abstractmethod
    def reset(self, key: FlowKey, sequence: int) -> bytes:
        """Build a reset from the service to the client of a flow."""
