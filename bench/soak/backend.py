"""Backend servers of the soak, which can crash and start again."""

__all__ = ('SoakBackend', 'Violations')

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, BOUNCED, FIN, SYN, build_packet

RESPONSE = b'answer:'
SEQUENCE_BITS = 32
SEQUENCE_MASK = 0xFFFFFFFF
MS_PER_S = 1000
# Copies of a packet that a lookup holds in its lifetime of 0.3 s, at a
# retransmission timeout of 0.2 s.
MAX_STRAYS = 2
_FLAGS_OFFSET = 8
_HEADER_BYTES = 31
_CODEC = PlatformCodec()


@define
class Violations:
    """Descriptions of broken guarantees, one per line."""

    lines: list[str] = field(factory=list)

    def add(self, line: str) -> None:
        """Add the description of a violation."""
        self.lines.append(line)


@define(eq=False)
class SoakBackend:
    """Backend server that accepts flows, echoes requests and bounces packets.

    It bounces packets of flows that it doesn't hold and packets that
    acknowledge the answer of another server. ``service_ports`` are the ports
    whose routes lead or have led to its service. A first packet for another
    port is a violation, and so are further packets of a flow that it has
    bounced, beyond those of ``lookups()`` owner lookups: after a start a
    sidecar may not know where a route led. ``address`` is
    the server's own address and ``outbound_address`` that of its sidecar for
    packets to clients. ``started_at_ms`` is the wall-clock time of the last
    start, ``new_flow_at`` the monotonic time of the last new flow.
    """

    name: str
    service: str
    service_ports: set[int]
    address: SocketAddress
    outbound_address: SocketAddress
    violations: Violations
    lookups: Callable[[], int] = field(default=lambda: 1)
    # Packets for other ports, by flow.
    strays: Counter[FlowKey] = field(factory=Counter)
    # The first sequence number of this server on each flow. Servers that answer
    # copies of one first packet need different ones: the number that the client
    # acknowledges decides whose flow it is.
    flows: dict[FlowKey, int] = field(factory=dict)
    # Flows on which the client has sent a request. Copies of a first packet
    # may leave half-open flows at other servers, which are not in this set.
    established: set[FlowKey] = field(factory=set)
    started_at_ms: int = 0
    is_up: bool = False
    new_flow_at: float = float('-inf')
    _rng: random.Random = field(init=False)
    _sock: PlainUdpSocket | None = None
    _server: asyncio.Server | None = None

    def __attrs_post_init__(self) -> None:
        """Seed the sequence numbers with the name of the server."""
        self._rng = random.Random(self.name)

    async def start(self) -> None:
        """Listen and record the time of the start."""
        self.started_at_ms = int(time.time() * MS_PER_S)
        self._sock = PlainUdpSocket(
            BoundSockets().take(self.address),
            self._on_packet,
        )
        self._server = await asyncio.start_server(
            _close_connection, *self.address
        )
        self.is_up = True

    def crash(self) -> None:
        """Drop all flows; the port refuses connections until ``start``."""
        self.is_up = False
        self.flows.clear()
        self.established.clear()
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        if self._server is not None:
            self._server.close()

    def _on_packet(self, raw: bytes, _pair: SocketAddress) -> None:
        packet = _CODEC.from_client(raw)
        self._check_port(packet)
        if packet.is_first:
            if packet.key not in self.flows:
                self.new_flow_at = time.monotonic()
            sequence = self.flows.setdefault(
                packet.key, self._rng.getrandbits(SEQUENCE_BITS)
            )
            self._send(packet.key, SYN | ACK, sequence, b'')
            return
        acknowledged = (packet.acknowledged - 1) & SEQUENCE_MASK
        if self.flows.get(packet.key) != acknowledged:
            bounced = bytearray(raw)
            bounced[_FLAGS_OFFSET] |= BOUNCED
            self._send_raw(bytes(bounced))
        elif packet.is_fin:
            self.flows.pop(packet.key)
            self.established.discard(packet.key)
            self._send(packet.key, FIN | ACK, packet.acknowledged, b'')
        elif packet.payload_bytes:
            self.established.add(packet.key)
            response = RESPONSE + raw[_HEADER_BYTES:]
            self._send(packet.key, ACK, packet.acknowledged, response)

    def _check_port(self, packet: Packet) -> None:
        port = int.from_bytes(packet.key[10:], 'big')
        if port in self.service_ports:
            return
        self.strays[packet.key] += 1
        limit = MAX_STRAYS * self.lookups()
        if packet.is_first or self.strays[packet.key] > limit:
            self.violations.add(f'{self.name} got a packet for port {port}')

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
        self._send_raw(packet)

    def _send_raw(self, raw: bytes) -> None:
        if self._sock is not None:
            self._sock.send(raw, self.outbound_address)


async def _close_connection(
    _reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.close()
