"""Packets of carried flows, independent of their layout on the wire."""

__all__ = (
    'FLOW_KEY_BYTES',
    'FlowKey',
    'Packet',
    'PacketCodec',
    'SocketAddress',
    'client_host',
    'first_packet_age_ms',
    'flow_name',
)

import socket
from abc import ABC, abstractmethod

from attrs import define

# The client's address and port, then the service's, in network byte order.
FlowKey = bytes
FLOW_KEY_BYTES = 12
# Host and port, as the functions of the socket module take them.
SocketAddress = tuple[str, int]
# Time since the first transmission, by the copy's number: clients retransmit
# a first packet at these ages and number the copies.
RETRANSMISSION_AGES_MS = (0, 200, 600)


def client_host(key: FlowKey) -> str:
    """Return the client's address in dotted form."""
    return '.'.join(str(octet) for octet in key[:4])


def flow_name(key: FlowKey) -> str:
    """Format a flow key as ``client:port>service:port``."""
    client = socket.inet_ntoa(key[:4])
    client_port = int.from_bytes(key[4:6], 'big')
    service = socket.inet_ntoa(key[6:10])
    service_port = int.from_bytes(key[10:12], 'big')
    return f'{client}:{client_port}>{service}:{service_port}'


@define(eq=False, repr=False)
class Packet:
    """One packet of a flow.

    ``key`` is the same in both directions. ``is_bounced`` is set on a packet
    that the backend server returns without accepting it. ``sequence`` is the
    sequence number of the first payload byte, ``acknowledged`` that of the
    next byte that the sender expects. ``hop_mark`` is set by a sidecar, and
    the backend server returns it when it bounces the packet. ``raw`` is the
    datagram.
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
        """Whether this is the first packet of a flow, a SYN without an ACK."""
        return self.is_syn and not self.is_ack

    @property
    def is_repeated_until_acknowledged(self) -> bool:
        """Whether the sender repeats this packet until it is acknowledged."""
        return self.is_fin or self.payload_bytes > 0


def first_packet_age_ms(packet: Packet) -> int:
    """Return the age of a flow in ms, from the number of its packet's copy.

    A client writes the number of the copy into the acknowledgement field of
    a first packet.
    """
    copies = min(packet.acknowledged, len(RETRANSMISSION_AGES_MS) - 1)
    return RETRANSMISSION_AGES_MS[copies]


class PacketCodec(ABC):
    """Decodes and builds packets of one wire layout."""

    @abstractmethod
    def from_client(self, raw: bytes) -> Packet:
        """Decode a client's packet; raise WireError if it is malformed."""

    @abstractmethod
    def from_backend(self, raw: bytes) -> Packet:
        """Decode a packet that a backend server sent or bounced.

        Raises WireError if it is malformed.
        """

    @abstractmethod
    def with_hop_mark(self, raw: bytes, hop_mark: int) -> bytes:
        """Return a client's packet with a hop mark and without bounce flag."""

    @abstractmethod
    def build_reset(self, key: FlowKey, sequence: int) -> bytes:
        """Build a reset from the service to the client of a flow."""
