"""Backend servers of the soak: hold flows, answer, bounce, crash."""

__all__ = ('SoakBackend', 'Violations')

import asyncio
import time

from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.utils.datagrams import PairSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, BOUNCED, FIN, SYN, build_packet

ANSWER = b'answer:'
FIRST_SEQUENCE = 5000
MS_PER_S = 1000
_FLAGS_AT = 8
_HEADER_BYTES = 31
_CODEC = PlatformCodec()


@define
class Violations:
    """Promises that were broken, as lines of text."""

    lines: list[str] = field(factory=list)

    def add(self, line: str) -> None:
        """Note a broken promise."""
        self.lines.append(line)


@define(eq=False)
class SoakBackend:
    """One backend server; ``service_port`` is all that it may be sent."""

    name: str
    service: str
    service_port: int
    address: SocketAddress
    outbound: SocketAddress
    violations: Violations
    held: set[FlowKey] = field(factory=set)
    # Flows whose client has answered; copies of a first packet may leave
    # half-open ones at other servers.
    established: set[FlowKey] = field(factory=set)
    born_ms: int = 0
    is_up: bool = False
    _sock: PairSocket | None = None
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin a new life, without a flow."""
        self.born_ms = int(time.time() * MS_PER_S)
        self._sock = PairSocket(
            BoundSockets().take(self.address),
            self._packet,
        )
        self._server = await asyncio.start_server(_hang_up, *self.address)
        self.is_up = True

    def crash(self) -> None:
        """Lose all flows; the port refuses connections."""
        self.is_up = False
        self.held.clear()
        self.established.clear()
        if self._sock is not None:
            self._sock.close()
        if self._server is not None:
            self._server.close()

    def _packet(self, raw: bytes, _pair: SocketAddress) -> None:
        packet = _CODEC.from_client(raw)
        port = int.from_bytes(packet.key[10:], 'big')
        if port != self.service_port:
            self.violations.add(f'{self.name} got a packet for port {port}')
        if packet.is_first:
            self.held.add(packet.key)
            self._send(packet.key, SYN | ACK, FIRST_SEQUENCE, b'')
        elif packet.key not in self.held:
            bounced = bytearray(raw)
            bounced[_FLAGS_AT] |= BOUNCED
            self._outbound(bytes(bounced))
        elif packet.is_fin:
            self.held.discard(packet.key)
            self.established.discard(packet.key)
            self._send(packet.key, FIN | ACK, FIRST_SEQUENCE + 1, b'')
        elif packet.payload_bytes:
            self.established.add(packet.key)
            answer = ANSWER + raw[_HEADER_BYTES:]
            self._send(packet.key, ACK, FIRST_SEQUENCE + 1, answer)

    def _send(
        self,
        key: FlowKey,
        flags: int,
        sequence: int,
        payload: bytes,
    ) -> None:
        packet = build_packet(
            key,
            flags,
            sequence=sequence,
            payload=payload,
            from_backend=True,
        )
        self._outbound(packet)

    def _outbound(self, raw: bytes) -> None:
        if self._sock is not None:
            self._sock.send(raw, self.outbound)


async def _hang_up(
    _reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.close()
