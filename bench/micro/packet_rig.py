"""Run a balancer between local sockets to measure its packet path.

The sockets of the clients, the sidecars and the balancer are all in one
process. Only the event loop iterations in which the balancer runs are timed;
packets are built and received at the other end outside of them.
"""

import asyncio
import socket
import struct
import time
from collections.abc import Callable, Sequence

from attrs import define, evolve, frozen

from dragonflyshift._internal.balancer.by_connection_id import (
    ConnectionIdSteering,
)
from dragonflyshift._internal.balancer.forwarder import (
    Forwarder,
    ForwarderCallbacks,
)
from dragonflyshift._internal.balancer.sockets import ServiceSockets
from dragonflyshift._internal.balancer.steering import SteeringContext
from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.routing.rendezvous import Rendezvous
from dragonflyshift._internal.telemetry import NoMetrics, Tracing
from dragonflyshift._internal.utils.udp import READ_BATCH, DatagramSocket
from dragonflyshift._internal.wire import (
    ConnectionIdCodec,
    ConnectionIdContents,
    DatagramCodec,
    DatagramKind,
    ReplyEnvelope,
)
from tests.lib.builders import (
    DATA_CENTER,
    REGION,
    build_endpoint,
    build_fleet_keys,
    build_index,
    build_service,
)

ENDPOINTS = 7
CLIENTS = 64
PACKET_BYTES = 1200
BUFFER_BYTES = 1 << 22
# The first iteration polls the sockets, the next one runs their callbacks.
ITERATIONS_PER_BATCH = 2
# A large prime stride makes the order of flows hard to predict for caches.
_FLOW_STRIDE = 7919
_INITIAL_HEAD = struct.Struct('!BIB')
_INITIAL_BYTE = 0xC0
_SHORT_BYTE = 0x40
_QUIC_VERSION = 1
_ZERO_PAYLOAD = bytes(PACKET_BYTES)


@define(eq=False)
class SocketGroup:
    """Sockets in place of the clients or the sidecars."""

    sockets: Sequence[socket.socket]

    @property
    def addresses(self) -> list[Address]:
        """The addresses of all sockets."""
        return [Address(*sock.getsockname()) for sock in self.sockets]

    def drain(self) -> int:
        """Receive all queued datagrams and return their number."""
        return sum(map(_drain, self.sockets))

    def close(self) -> None:
        """Close all sockets."""
        for sock in self.sockets:
            sock.close()


@frozen
class PacketStream:
    """Packets in one direction; ``make(number)`` builds each packet."""

    sources: SocketGroup
    target: Address
    sinks: SocketGroup
    make: Callable[[int], bytes]

    def send_batch(self, first: int) -> None:
        """Send one read batch of packets, numbered from ``first``."""
        sockets = self.sources.sockets
        for number in range(first, first + READ_BATCH):
            source = sockets[number % len(sockets)]
            source.sendto(self.make(number), self.target.pair)


def open_sockets(count: int) -> SocketGroup:
    """Open non-blocking UDP sockets on free loopback ports."""
    return SocketGroup([_open_socket() for _ in range(count)])


def free_address() -> Address:
    """Return a loopback address whose port is currently free."""
    with _open_socket() as sock:
        return Address(*sock.getsockname())


class PacketRig:
    """A balancer with the client and sidecar sockets of one service."""

    def __init__(self) -> None:
        """Open all sockets; requires a running event loop."""
        self.keys = build_fleet_keys()
        self.clients = open_sockets(CLIENTS)
        self.sidecars = open_sockets(ENDPOINTS)
        self.service = evolve(
            build_service(addresses=(free_address(),)),
            endpoints=tuple(
                build_endpoint(number, address=address)
                for number, address in enumerate(self.sidecars.addresses)
            ),
        )
        self.listen = free_address()
        self.forwarder = self._create_forwarder()
        self._service_sockets = ServiceSockets(
            '',
            self.forwarder.forward_client_packet,
        )
        self._service_sockets.open(self.service.addresses)
        self._datagrams = DatagramSocket.bind(
            self.listen,
            self.forwarder.handle_sidecar_datagram,
        )

    def to_sidecars(self, flows: int) -> PacketStream:
        """Return client packets of a number of established flows."""
        ids = ConnectionIdCodec(self.keys)
        addresses = self.sidecars.addresses
        issued = [
            ids.issue(
                ConnectionIdContents(
                    addresses[flow % ENDPOINTS], self.service.tag, 1
                )
            )
            for flow in range(flows)
        ]
        return self._from_clients(
            lambda number: short_packet(issued[number * _FLOW_STRIDE % flows]),
        )

    def new_flows(self, flows: int) -> PacketStream:
        """Return the first packets of a number of new flows."""
        return self._from_clients(
            lambda number: initial_packet(number * _FLOW_STRIDE % flows),
        )

    def to_clients(self, flows: int) -> PacketStream:
        """Return sealed replies of a number of established flows."""
        codec = DatagramCodec(self.keys)
        addresses = self.clients.addresses
        return PacketStream(
            self.sidecars,
            self.listen,
            self.clients,
            lambda number: codec.seal(
                DatagramKind.REPLY,
                self.reply(addresses[number % flows % CLIENTS]),
            ),
        )

    def reply(self, client: Address) -> bytes:
        """Return the encoded body of a reply to a client."""
        return ReplyEnvelope(
            tag=self.service.tag,
            client=client,
            service=self.service.addresses[0],
            packet=_ZERO_PAYLOAD,
            version=self.service.version,
        ).encode()

    async def measure(self, stream: PacketStream, packets: int) -> float:
        """Return the balancer's processor time per packet, in seconds.

        Raises RuntimeError if packets are lost.
        """
        cpu_seconds: float = 0
        received = 0
        for first in range(0, packets, READ_BATCH):
            stream.send_batch(first)
            started = time.thread_time()
            await _run_event_loop()
            cpu_seconds += time.thread_time() - started
            received += stream.sinks.drain()
            self._record_sidecar_datagrams()
        if received < packets:
            raise RuntimeError(
                f'lost {packets - received} of {packets} packets',
            )
        return cpu_seconds / packets

    def close(self) -> None:
        """Close all sockets."""
        self._service_sockets.close()
        self._datagrams.close()
        self.clients.close()
        self.sidecars.close()

    def _from_clients(self, make: Callable[[int], bytes]) -> PacketStream:
        return PacketStream(
            self.clients,
            self.service.addresses[0],
            self.sidecars,
            make,
        )

    def _record_sidecar_datagrams(self) -> None:
        """Keep the endpoints reachable, as no sidecar sends datagrams here."""
        for address in self.sidecars.addresses:
            self.forwarder.views.record_datagram(address)

    def _create_forwarder(self) -> Forwarder:
        views = ServiceViews()
        return Forwarder(
            self.listen,
            DatagramCodec(self.keys),
            ConnectionIdSteering(
                SteeringContext(
                    ConnectionIdCodec(self.keys),
                    Rendezvous(),
                    views.candidates,
                    DATA_CENTER,
                    REGION,
                ),
            ),
            views,
            self._create_store(),
            NoMetrics('balancer'),
            Tracing('', 'balancer', 'bench'),
            ForwarderCallbacks(
                self._send_to_sidecar,
                self._send_to_client,
                lambda _key, _version, _peer: None,
            ),
        )

    def _create_store(self) -> ConfigurationStore:
        store = ConfigurationStore()
        store.apply_index(encode_document(build_index(self.service)))
        store.apply_service(encode_document(self.service))
        return store

    def _send_to_sidecar(self, datagram: bytes, sidecar: Address) -> None:
        self._datagrams.send(datagram, sidecar)

    def _send_to_client(
        self,
        service: Address,
        packet: bytes,
        client: Address,
    ) -> None:
        self._service_sockets.send(service, packet, client)


def short_packet(connection_id: bytes) -> bytes:
    """Return a short-header packet with a connection id."""
    head = bytes((_SHORT_BYTE,)) + connection_id
    return head + _ZERO_PAYLOAD[len(head) :]


def initial_packet(flow: int) -> bytes:
    """Return a long-header packet that starts a new flow."""
    connection_id = struct.pack('!Q', flow)
    head = _INITIAL_HEAD.pack(
        _INITIAL_BYTE,
        _QUIC_VERSION,
        len(connection_id),
    )
    return (head + connection_id).ljust(PACKET_BYTES, b'\0')


async def _run_event_loop() -> None:
    for _ in range(ITERATIONS_PER_BATCH):
        await asyncio.sleep(0)


def _open_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind(('127.0.0.1', 0))
    return sock


def _drain(sock: socket.socket) -> int:
    received = 0
    while True:
        try:
            sock.recv(PACKET_BYTES * 2)
        except BlockingIOError:
            return received
        received += 1
