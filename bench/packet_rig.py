"""A balancer between sockets of this process, for measuring its packet path.

The client's sockets, the sidecars' and the balancer's own are all in one
process. Only the turns of the event loop in which the balancer works are
counted; packets are made, and taken off the other end, outside of them.
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
# One turn finds the readable sockets, the next one serves them.
TURNS_A_BATCH = 2
# Visits flows in an order that caches can't foresee.
_STRIDE = 7919
_INITIAL_HEAD = struct.Struct('!BIB')
_INITIAL_BYTE = 0xC0
_SHORT_BYTE = 0x40
_QUIC_VERSION = 1
_FILLER = bytes(PACKET_BYTES)


@define(eq=False)
class Endpoints:
    """Sockets that stand for the clients or the sidecars."""

    sockets: Sequence[socket.socket]

    @property
    def addresses(self) -> list[Address]:
        """The addresses of all sockets."""
        return [Address(*sock.getsockname()) for sock in self.sockets]

    def drain(self) -> int:
        """Take all datagrams off the sockets and return their number."""
        return sum(map(_drain, self.sockets))

    def close(self) -> None:
        """Close all sockets."""
        for sock in self.sockets:
            sock.close()


@frozen
class Stream:
    """Packets in one direction: packet ``number`` is made by ``make``."""

    sources: Endpoints
    target: Address
    sinks: Endpoints
    make: Callable[[int], bytes]

    def send_batch(self, first: int) -> None:
        """Send packets from number ``first`` on, as many as one read takes."""
        sockets = self.sources.sockets
        for number in range(first, first + READ_BATCH):
            source = sockets[number % len(sockets)]
            source.sendto(self.make(number), self.target.pair)


def open_endpoints(count: int) -> Endpoints:
    """Open non-blocking UDP sockets on free loopback ports."""
    return Endpoints([_open_socket() for _ in range(count)])


def free_address() -> Address:
    """Return a loopback address that nobody holds at the moment."""
    with _open_socket() as sock:
        return Address(*sock.getsockname())


class PacketRig:
    """Clients, one balancer and the sidecars of a service."""

    def __init__(self) -> None:
        """Open all sockets; needs a running event loop."""
        self.keys = build_fleet_keys()
        self.clients = open_endpoints(CLIENTS)
        self.sidecars = open_endpoints(ENDPOINTS)
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

    def to_sidecars(self, flows: int) -> Stream:
        """Return packets of established flows."""
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
            lambda number: short_packet(issued[number * _STRIDE % flows]),
        )

    def new_flows(self, flows: int) -> Stream:
        """Return first packets of flows."""
        return self._from_clients(
            lambda number: initial_packet(number * _STRIDE % flows),
        )

    def to_clients(self, flows: int) -> Stream:
        """Return sealed replies of established flows."""
        codec = DatagramCodec(self.keys)
        addresses = self.clients.addresses
        return Stream(
            self.sidecars,
            self.listen,
            self.clients,
            lambda number: codec.seal(
                DatagramKind.REPLY,
                self.reply(addresses[number % flows % CLIENTS]),
            ),
        )

    def reply(self, client: Address) -> bytes:
        """Return the body of a reply to a client."""
        return ReplyEnvelope(
            tag=self.service.tag,
            client=client,
            service=self.service.addresses[0],
            packet=_FILLER,
            version=self.service.version,
        ).encode()

    async def run(self, stream: Stream, packets: int) -> float:
        """Return the balancer's processor time for a packet, in seconds."""
        spent: float = 0
        taken = 0
        for first in range(0, packets, READ_BATCH):
            stream.send_batch(first)
            started = time.thread_time()
            await _take_turns()
            spent += time.thread_time() - started
            taken += stream.sinks.drain()
            self._hear_sidecars()
        if taken < packets:
            raise RuntimeError(f'{packets - taken} of {packets} were lost')
        return spent / packets

    def close(self) -> None:
        """Close all sockets."""
        self._service_sockets.close()
        self._datagrams.close()
        self.clients.close()
        self.sidecars.close()

    def _from_clients(self, make: Callable[[int], bytes]) -> Stream:
        return Stream(
            self.clients,
            self.service.addresses[0],
            self.sidecars,
            make,
        )

    def _hear_sidecars(self) -> None:
        """Keep the endpoints reachable, though no sidecar answers here."""
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
        store.offer_index(encode_document(build_index(self.service)))
        store.offer_service(encode_document(self.service))
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
    """Return a packet of an established flow."""
    head = bytes((_SHORT_BYTE,)) + connection_id
    return head + _FILLER[len(head) :]


def initial_packet(flow: int) -> bytes:
    """Return the first packet of a flow."""
    connection_id = struct.pack('!Q', flow)
    head = _INITIAL_HEAD.pack(
        _INITIAL_BYTE,
        _QUIC_VERSION,
        len(connection_id),
    )
    return (head + connection_id).ljust(PACKET_BYTES, b'\0')


async def _take_turns() -> None:
    for _ in range(TURNS_A_BATCH):
        await asyncio.sleep(0)


def _open_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind(('127.0.0.1', 0))
    return sock


def _drain(sock: socket.socket) -> int:
    taken = 0
    while True:
        try:
            sock.recv(PACKET_BYTES * 2)
        except BlockingIOError:
            return taken
        taken += 1
