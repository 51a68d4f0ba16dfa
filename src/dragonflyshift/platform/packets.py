"""The layout of the platform's packets.

A header of 31 bytes in big-endian order precedes the payload. The checksum
uses a key that only the client and the server have. It doesn't cover the
fields that a sidecar sets on the way to its server.
"""

__all__ = ('PlatformCodec',)

import struct

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    PacketCodec,
)
from dragonflyshift._internal.exceptions import WireError

# seq, ack, flags, echo, src, dport, dst, sport, sum, len. The ports are in
# unusual places: the destination's port precedes the destination's address,
# and the source's port follows it. The platform's field pad has no width.
_HEADER = struct.Struct('!IIBI4sH4sHIH')
_PORT = struct.Struct('!H')
_SYN = 32
_ACK = 16
_FIN = 4
_RST = 8
_BOUNCE = 64
_FLAGS_OFFSET = 8
# The field ``echo``. The server returns it unchanged when it bounces a packet.
_MARK_OFFSET = 9
_MARK = struct.Struct('!I')
MAX_PAYLOAD_BYTES = 1200


class PlatformCodec(PacketCodec):
    """Decodes and builds the platform's packets."""

    def from_client(self, raw: bytes) -> Packet:
        """Decode a client's packet; raise WireError if it is malformed."""
        fields = _unpack(raw)
        # src and sport belong to the client, dst and dport to the service.
        key = _flow_key(fields[4], fields[7], fields[6], fields[5])
        return _packet(fields, key, raw)

    def from_backend(self, raw: bytes) -> Packet:
        """Decode a packet that a backend server sent or bounced.

        Raises WireError if it is malformed.
        """
        fields = _unpack(raw)
        if int(fields[2]) & _BOUNCE:
            key = _flow_key(fields[4], fields[7], fields[6], fields[5])
        else:
            key = _flow_key(fields[6], fields[5], fields[4], fields[7])
        return _packet(fields, key, raw)

    def with_hop_mark(self, raw: bytes, hop_mark: int) -> bytes:
        """Return a client's packet with a hop mark and without bounce flag."""
        flags = raw[_FLAGS_OFFSET] & ~_BOUNCE
        rewritten = bytes((flags,)) + _MARK.pack(hop_mark)
        return (
            raw[:_FLAGS_OFFSET] + rewritten + raw[_MARK_OFFSET + _MARK.size :]
        )

    def build_reset(self, key: FlowKey, sequence: int) -> bytes:
        """Build a reset from the service to the client of a flow."""
        (client_port,) = _PORT.unpack(key[4:6])
        (service_port,) = _PORT.unpack(key[10:12])
        return _HEADER.pack(
            sequence,
            0,
            _RST,
            0,
            key[6:10],
            client_port,
            key[:4],
            service_port,
            0,
            0,
        )


def _unpack(raw: bytes) -> tuple[int | bytes, ...]:
    if len(raw) < _HEADER.size:
        raise WireError(
            f'packet of {len(raw)} bytes is shorter than its header',
        )
    fields = _HEADER.unpack_from(raw)
    payload = len(raw) - _HEADER.size
    if fields[9] != payload or payload > MAX_PAYLOAD_BYTES:
        raise WireError(
            f'packet has {payload} bytes of payload, declares '
            f'{int(fields[9])} and may have {MAX_PAYLOAD_BYTES}',
        )
    return fields


def _flow_key(
    client: int | bytes,
    client_port: int | bytes,
    service: int | bytes,
    service_port: int | bytes,
) -> FlowKey:
    return b''.join(
        (
            client,  # type: ignore[arg-type]
            _PORT.pack(client_port),
            service,  # type: ignore[arg-type]
            _PORT.pack(service_port),
        )
    )


def _packet(
    fields: tuple[int | bytes, ...],
    key: FlowKey,
    raw: bytes,
) -> Packet:
    flags = int(fields[2])
    return Packet(
        key,
        bool(flags & _SYN),
        bool(flags & _ACK),
        bool(flags & _FIN),
        bool(flags & _RST),
        bool(flags & _BOUNCE),
        int(fields[0]),
        int(fields[1]),
        int(fields[9]),
        int(fields[3]),
        raw,
    )
