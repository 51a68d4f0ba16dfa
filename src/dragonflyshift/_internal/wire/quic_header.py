"""The version-independent part of a QUIC packet header (RFC 8999).

A balancer reads only the form bit, the version and the destination
connection id.
"""

import enum
import struct

from attrs import frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.wire.connection_id import CONNECTION_ID_BYTES

# Clients pad datagrams that contain an Initial packet to at least this size
# (RFC 9000, section 14.1).
MIN_INITIAL_BYTES = 1200
MAX_CONNECTION_ID_BYTES = 20
_LONG_FORM = 0x80
_VERSION = struct.Struct('!I')
_ID_LENGTH_OFFSET = 5
_ID_OFFSET = 6


class HeaderForm(enum.Enum):
    """The form of a packet header."""

    LONG = 'long'
    SHORT = 'short'


@frozen
class QuicHeader:
    """The invariant header fields; a short header has version 0."""

    form: HeaderForm
    version: int
    destination: bytes


def read_header(packet: bytes) -> QuicHeader:
    """Parse a packet's invariant header; raise WireError if malformed."""
    if not packet:
        raise WireError('packet is empty')
    if not packet[0] & _LONG_FORM:
        destination = packet[1 : 1 + CONNECTION_ID_BYTES]
        if len(destination) < CONNECTION_ID_BYTES:
            raise WireError(
                f'short header is truncated: packet has {len(packet)} bytes'
            )
        return QuicHeader(HeaderForm.SHORT, 0, destination)
    if len(packet) < _ID_OFFSET:
        raise WireError(
            f'long header is truncated: packet has {len(packet)} bytes'
        )
    size = packet[_ID_LENGTH_OFFSET]
    destination = packet[_ID_OFFSET : _ID_OFFSET + size]
    if size > MAX_CONNECTION_ID_BYTES or len(destination) < size:
        raise WireError(
            f'long header has a malformed connection id of {size} bytes'
        )
    (version,) = _VERSION.unpack_from(packet, 1)
    return QuicHeader(HeaderForm.LONG, version, destination)
