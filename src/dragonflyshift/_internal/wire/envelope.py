"""Datagram bodies that encapsulate the packets of flows.

A ``ForwardEnvelope`` is sent by a balancer to a sidecar, or relayed by the
first candidate sidecar to the second one. A ``ReplyEnvelope`` is sent by a
sidecar to a balancer. Integers are big-endian; an address is six bytes, IPv4
address and port.
"""

import socket
import struct
from functools import lru_cache
from typing import Self

from attrs import evolve, frozen

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.models import Address

HASH_BYTES = 8
NO_HASH = bytes(HASH_BYTES)
MAX_PACKET_BYTES = 2048
ADDRESS_CACHE_SIZE = 65536
_ADDRESS_BYTES = 6
_NO_ADDRESS = bytes(_ADDRESS_BYTES)
_ADDRESS = struct.Struct('!4sH')
# Tag, client, service address, balancer, second candidate, hops, leaving,
# digest hash, configuration version.
_FORWARD = struct.Struct('!I6s6s6s6sBB8sQ')
# Tag, client, service address, configuration version, digest length.
_REPLY = struct.Struct('!I6s6sQH')


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def pack_address(address: Address | None) -> bytes:
    """Encode an address; None is encoded as six zero bytes."""
    if address is None:
        return _NO_ADDRESS
    return _ADDRESS.pack(socket.inet_aton(address.host), address.port)


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def unpack_address(raw: bytes) -> Address | None:
    """Decode an address; return None if its port is zero."""
    host, port = _ADDRESS.unpack(raw)
    if port == 0:
        return None
    return Address(socket.inet_ntoa(host), port)


def require_address(raw: bytes) -> Address:
    """Decode a mandatory address; raise WireError if it is absent."""
    address = unpack_address(raw)
    if address is None:
        raise WireError('datagram lacks a mandatory address')
    return address


@frozen
class ForwardEnvelope:
    """A packet from a client, forwarded to a sidecar.

    ``second_candidate`` is used for a new flow. ``leaving`` is set
    while the balancer shuts down, so that sidecars reply through others.
    ``digest_hash`` identifies the balancer's view of the service's members,
    ``version`` is that of its service document.
    """

    tag: int
    client: Address
    service: Address
    balancer: Address
    packet: bytes
    second_candidate: Address | None = None
    hops: int = 0
    leaving: bool = False
    digest_hash: bytes = NO_HASH
    version: int = 0

    def encode(self) -> bytes:
        """Return the datagram body."""
        head = _FORWARD.pack(
            self.tag,
            pack_address(self.client),
            pack_address(self.service),
            pack_address(self.balancer),
            pack_address(self.second_candidate),
            self.hops,
            self.leaving,
            self.digest_hash,
            self.version,
        )
        return head + self.packet

    def encode_relayed(self) -> bytes:
        """Return the body for the next sidecar, with the hop count raised."""
        return evolve(self, hops=self.hops + 1, second_candidate=None).encode()

    @classmethod
    def decode(cls, body: bytes) -> Self:
        """Read a datagram body; raise WireError if it is malformed."""
        if not _FORWARD.size < len(body) <= _FORWARD.size + MAX_PACKET_BYTES:
            raise WireError(f'forward of {len(body)} bytes is malformed')
        parts = _FORWARD.unpack_from(body)
        return cls(
            tag=parts[0],
            client=require_address(parts[1]),
            service=require_address(parts[2]),
            balancer=require_address(parts[3]),
            second_candidate=unpack_address(parts[4]),
            hops=parts[5],
            leaving=bool(parts[6]),
            digest_hash=parts[7],
            version=parts[8],
            packet=body[_FORWARD.size :],
        )


@frozen
class ReplyEnvelope:
    """A packet from a sidecar, to be returned to a client.

    ``digest`` is empty unless the balancer's view differs from the
    sidecar's. If ``packet`` is empty, nothing is sent to the client.
    """

    tag: int
    client: Address
    service: Address
    packet: bytes
    version: int = 0
    digest: bytes = b''

    def encode(self) -> bytes:
        """Return the datagram body."""
        head = _REPLY.pack(
            self.tag,
            pack_address(self.client),
            pack_address(self.service),
            self.version,
            len(self.digest),
        )
        return b''.join((head, self.digest, self.packet))

    @classmethod
    def decode(cls, body: bytes) -> Self:
        """Read a datagram body; raise WireError if it is malformed."""
        if len(body) < _REPLY.size:
            raise WireError(f'reply of {len(body)} bytes is malformed')
        tag, client, service, version, size = _REPLY.unpack_from(body)
        packet_offset = _REPLY.size + size
        if packet_offset > len(body):
            raise WireError(
                f'reply of {len(body)} bytes is shorter than its digest'
            )
        return cls(
            tag=tag,
            client=require_address(client),
            service=require_address(service),
            version=version,
            digest=body[_REPLY.size : packet_offset],
            packet=body[packet_offset:],
        )
