"""Wire formats: messages, datagrams, connection ids and their keys.

All of them are exchanged between the daemons of one fleet.
"""

from dragonflyshift._internal.wire.connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    ConnectionIdContents,
)
from dragonflyshift._internal.wire.datagram import (
    DatagramCodec,
    DatagramKind,
    VerifiedDatagram,
)
from dragonflyshift._internal.wire.envelope import (
    ForwardEnvelope,
    ReplyEnvelope,
)
from dragonflyshift._internal.wire.keys import FleetKey, FleetKeys

__all__ = (
    'CONNECTION_ID_BYTES',
    'ConnectionIdCodec',
    'DatagramCodec',
    'FleetKey',
    'FleetKeys',
    'ForwardEnvelope',
    'ConnectionIdContents',
    'DatagramKind',
    'VerifiedDatagram',
    'ReplyEnvelope',
)
