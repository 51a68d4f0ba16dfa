"""Clients of the soak, which send packets through any ready balancer."""

__all__ = ('SoakClients', 'SoakFlow')

import asyncio
import random
import socket
from collections.abc import Callable, Sequence

from attrs import define, field

from bench.soak.backend import (
    RESPONSE,
    SEQUENCE_MASK,
    SoakBackend,
    Violations,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, FIN, SERVICE_HOST, SYN, build_packet

RETRANSMISSION_S = 0.2
FIRST_PACKET_COPIES = 3
REQUEST_ATTEMPTS = 10
REQUESTS_PER_FLOW = 6
PAUSE_S = 0.05
FIRST_PORT = 2000
_HEADER_BYTES = 31
_CODEC = PlatformCodec()


@define(eq=False)
class SoakFlow:
    """Client side of a flow; ``inbox`` holds its received packets.

    ``acknowledged`` is the acknowledgement number for the server.
    """

    key: FlowKey
    inbox: asyncio.Queue[tuple[Packet, bytes]] = field(factory=asyncio.Queue)
    acknowledged: int = 0
    is_established: bool = False

    @property
    def port(self) -> int:
        """Return the port of the client, which starts each payload."""
        return int.from_bytes(self.key[4:6], 'big')


@define(eq=False)
class SoakClients:
    """Users that open flows, send several requests on each and close them.

    ``ready_balancers()`` returns the addresses to which packets are sent.
    ``answered_at`` and ``failed_at`` hold the times of the event loop at which
    requests were answered or failed.
    """

    address: SocketAddress
    service_ports: Sequence[int]
    ready_balancers: Callable[[], Sequence[SocketAddress]]
    backends: Sequence[SoakBackend]
    rng: random.Random
    violations: Violations
    requests_per_flow: int = REQUESTS_PER_FLOW
    # Whether all packets of a flow go to one balancer as long as it is ready.
    is_steady: bool = False
    answered_at: list[float] = field(factory=list)
    failed_at: list[float] = field(factory=list)
    _flows: dict[FlowKey, SoakFlow] = field(factory=dict)
    _port: int = FIRST_PORT
    _sock: PlainUdpSocket | None = None

    def start(self) -> None:
        """Listen where the daemons send the packets for clients."""
        self._sock = PlainUdpSocket(
            BoundSockets().take(self.address),
            self._on_packet,
        )

    def close(self) -> None:
        """Stop listening."""
        if self._sock is not None:
            self._sock.close()

    async def run_user(self) -> None:
        """Open and use one flow after the other until cancelled."""
        while True:
            flow = self.new_flow()
            if await self.open_flow(flow):
                await self._send_requests(flow)
            else:
                self._record_time(self.failed_at)
            self.drop_flow(flow)
            await asyncio.sleep(PAUSE_S)

    def drop_flow(self, flow: SoakFlow) -> None:
        """Ignore further packets of a flow."""
        self._flows.pop(flow.key, None)

    def new_flow(self, service_port: int | None = None) -> SoakFlow:
        """Return a flow to a service port, by default to a random one."""
        self._port += 1
        if service_port is None:
            service_port = self.rng.choice(self.service_ports)
        key = b''.join(
            (
                socket.inet_aton(self.address[0]),
                self._port.to_bytes(2, 'big'),
                socket.inet_aton(SERVICE_HOST),
                service_port.to_bytes(2, 'big'),
            )
        )
        flow = SoakFlow(key)
        self._flows[key] = flow
        return flow

    async def open_flow(self, flow: SoakFlow) -> bool:
        """Open a flow; return whether a server has accepted it."""
        for copy in range(FIRST_PACKET_COPIES):
            raw = build_packet(flow.key, SYN, acknowledged=copy)
            self._send_raw(flow, raw)
            received = await self._receive(flow, RETRANSMISSION_S * (copy + 1))
            if received is not None and received[0].is_rst:
                return False
            if received is not None and received[0].is_syn:
                flow.acknowledged = (received[0].sequence + 1) & SEQUENCE_MASK
                flow.is_established = True
                return True
        return False

    async def _send_requests(self, flow: SoakFlow) -> None:
        for number in range(self.requests_per_flow):
            payload = b'%d:%d' % (flow.port, number)
            if not await self.send_request(flow, payload, number + 1):
                self._record_time(self.failed_at)
                return
            self._record_time(self.answered_at)
            await asyncio.sleep(PAUSE_S)
        self._send_packet(flow, FIN | ACK, self.requests_per_flow + 1, b'')

    async def send_request(
        self,
        flow: SoakFlow,
        payload: bytes,
        sequence: int,
    ) -> bool:
        """Send a request on an open flow; return whether it was answered."""
        for _ in range(REQUEST_ATTEMPTS):
            self._send_packet(flow, ACK, sequence, payload)
            received = await self._receive(flow, RETRANSMISSION_S)
            while received is not None:
                packet, body = received
                if packet.is_rst:
                    self._check_reset(flow)
                    return False
                if body == RESPONSE + payload:
                    return True
                self._check_response(flow, body)
                received = await self._receive(flow, RETRANSMISSION_S / 4)
        return False

    def _check_reset(self, flow: SoakFlow) -> None:
        for backend in self.backends:
            if backend.is_up and flow.key in backend.established:
                self.violations.add(
                    f'reset of a flow that {backend.name} holds'
                )

    def _check_response(self, flow: SoakFlow, body: bytes) -> None:
        prefix = b'%d:' % flow.port
        if body and not body.startswith(RESPONSE + prefix):
            self.violations.add(f'an answer to another request: {body!r}')

    async def _receive(
        self,
        flow: SoakFlow,
        seconds: float,
    ) -> tuple[Packet, bytes] | None:
        try:
            async with asyncio.timeout(seconds):
                return await flow.inbox.get()
        except TimeoutError:
            return None

    def _send_packet(
        self,
        flow: SoakFlow,
        flags: int,
        sequence: int,
        payload: bytes,
    ) -> None:
        self._send_raw(
            flow,
            build_packet(
                flow.key,
                flags,
                sequence=sequence,
                acknowledged=flow.acknowledged,
                payload=payload,
            ),
        )

    def _send_raw(self, flow: SoakFlow, raw: bytes) -> None:
        balancers = self.ready_balancers()
        if self._sock is None or not balancers:
            return
        if self.is_steady:
            balancer = balancers[flow.port % len(balancers)]
        else:
            balancer = self.rng.choice(balancers)
        self._sock.send(raw, balancer)

    def _on_packet(self, raw: bytes, _pair: SocketAddress) -> None:
        packet = _CODEC.from_backend(raw)
        flow = self._flows.get(packet.key)
        if flow is not None:
            flow.inbox.put_nowait((packet, raw[_HEADER_BYTES:]))

    def _record_time(self, times: list[float]) -> None:
        times.append(asyncio.get_running_loop().time())
