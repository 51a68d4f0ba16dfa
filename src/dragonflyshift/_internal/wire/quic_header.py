"""The parts of a QUIC packet that every version keeps (RFC 8999).

A balancer reads nothing else: the form bit, the version, and the
destination connection id.
"""

import enum
import struct

from attrs import frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.wire.connection_id import CONNECTION_ID_BYTES

MIN_INITIAL_BYTES = 1200
MAX_CONNECTION_ID_BYTES = 20
_LONG_FORM = 0x80
_VERSION = struct.Struct('!I')
_LENGTH_AT = 5
_LONG_ID_AT = 6


class Form(enum.Enum):
    """The two forms of a packet header."""

    LONG = 'long'
    SHORT = 'short'


@frozen
class QuicHeader:
    """Form, version (0 on a short header) and destination connection id."""

    form: Form
    version: int
    destination: bytes


def read_header(packet: bytes) -> QuicHeader:
    """Read a packet's invariant header; raise WireError if malformed."""
    if not packet:
        raise WireError('a packet is empty')
    if not packet[0] & _LONG_FORM:
        destination = packet[1 : 1 + CONNECTION_ID_BYTES]
        if len(destination) < CONNECTION_ID_BYTES:
            raise WireError('a short header is cut')
        return QuicHeader(Form.SHORT, 0, destination)
    if len(packet) < _LONG_ID_AT:
        raise WireError('a long header is cut')
    size = packet[_LENGTH_AT]
    destination = packet[_LONG_ID_AT : _LONG_ID_AT + size]
    if size > MAX_CONNECTION_ID_BYTES or len(destination) < size:
        raise WireError('a long header is malformed')
    (version,) = _VERSION.unpack_from(packet, 1)
    return QuicHeader(Form.LONG, version, destination)
