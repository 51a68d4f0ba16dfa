"""A replayed flow between a client and a sidecar, through balancers."""

__all__ = ('Keys', 'replay_flow')

import os
import random
from collections.abc import Callable
from functools import partial

from aioquic.buffer import Buffer  # type: ignore[attr-defined] # no __all__
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import HandshakeCompleted, QuicEvent
from aioquic.quic.packet import pull_quic_header
from attrs import define, field, frozen

from bench.emulator.clock import VirtualClock
from bench.replies.balancers import BalancerPlan, address_of
from bench.replies.endpoint import PEER, Endpoint
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.recovery import BalancerDirectory, ReturnPath
from dragonflyshift._internal.sidecar.balancer_reports import PERIOD_S
from dragonflyshift._internal.sidecar.quic import ServerConnection
from dragonflyshift._internal.wire import CONNECTION_ID_BYTES

CLIENT_IDLE_TIMEOUT_S = 8.0
KEEPALIVE_S = 3.3
MAX_PLAY_S = 60.0
STEP_S = 0.5
OTHER_FLOWS_S = 0.1
MAX_START_S = 0.6
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.005
REQUEST_BYTES = (10, 900, 20_000)
RESPONSE_BYTES = (100, 3000, 200_000)
SERVICE_S = (0.02, 2.0)
MAX_THINK_S = 0.4
RESET_TOKEN_BYTES = 16
_REQUEST_HEAD = [
    (b':method', b'POST'),
    (b':scheme', b'https'),
    (b':authority', b'lists'),
    (b':path', b'/lists/1/edits'),
]


@frozen
class Keys:
    """What both ends need for a handshake.

    ``authority`` is the certificate that the client trusts, in PEM, and
    ``sidecar`` the configuration of the sidecar's end.
    """

    authority: str
    server_name: str
    sidecar: QuicConfiguration


def replay_flow(
    keys: Keys,
    build_plan: Callable[[random.Random], BalancerPlan],
    seed: int,
    pause_s: float,
) -> str:
    """Play a flow; return why it failed, or an empty text."""
    rng = random.Random(seed)
    network = _Network(VirtualClock(), rng, build_plan(rng))
    sidecar = _Sidecar(network, keys.sidecar, pause_s)
    client = _Client(network, sidecar, keys, pause_s)
    sidecar.client = client
    clock = network.clock
    clock.every(OTHER_FLOWS_S, network.see_other_flows)
    clock.every(PERIOD_S, network.report)
    clock.after(rng.uniform(0, MAX_START_S), client.connect)
    while not (client.is_done or client.failure):
        if clock.now >= MAX_PLAY_S:
            return 'stalled'
        clock.run_until(clock.now + STEP_S)
    return client.failure


@define(eq=False)
class _Network:
    """The balancers, and what the sidecar knows of them."""

    clock: VirtualClock
    rng: random.Random
    plan: BalancerPlan
    directory: BalancerDirectory = field(factory=BalancerDirectory)

    def choose_balancer(self) -> int:
        """Return the balancer that gets the next packet of a client."""
        return self.rng.choice(self.plan.in_rotation(self.clock.now))

    def carry(self, balancer: int, deliver: Callable[[], None]) -> None:
        """Deliver a datagram through a balancer unless that has ended."""
        if self.plan.is_up(balancer, self.clock.now):
            delay_s = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
            self.clock.after(delay_s, deliver)

    def see_other_flows(self) -> None:
        """Let a packet of another flow reach the sidecar."""
        now = self.clock.now
        balancer = self.choose_balancer()
        is_seen = self.plan.others_seen and now < self.plan.requests_until
        if is_seen and self.plan.is_up(balancer, now):
            self.directory.record(address_of(balancer), now)

    def report(self) -> None:
        """Let a peer of the sidecar report the balancers that are up."""
        now = self.clock.now
        for balancer in self.plan.in_rotation(now):
            if self.plan.peers_report and self.plan.is_up(balancer, now):
                self.directory.record_report(address_of(balancer), now)


class _Client(Endpoint):
    """Sends one request after another until the plan's end of requests."""

    def __init__(
        self,
        network: _Network,
        sidecar: '_Sidecar',
        keys: Keys,
        pause_s: float,
    ) -> None:
        super().__init__(network.clock, network.rng, pause_s)
        self.is_done = False
        self._network = network
        self._sidecar = sidecar
        self._keys = keys

    def connect(self) -> None:
        """Start the handshake."""
        self.quic = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=H3_ALPN,
                server_name=self._keys.server_name,
                idle_timeout=CLIENT_IDLE_TIMEOUT_S,
                cadata=self._keys.authority.encode(),
            )
        )
        self.http = H3Connection(self.quic)
        self.quic.connect(PEER, now=self.clock.now)
        self.transmit()

    def send(self, datagram: bytes) -> None:
        """Send a datagram through any balancer in rotation."""
        balancer = self._network.choose_balancer()
        self._network.carry(
            balancer,
            partial(self._sidecar.receive_from, balancer, datagram),
        )

    def on_quic_event(self, event: QuicEvent) -> None:
        """Send the first request after the handshake."""
        if isinstance(event, HandshakeCompleted):
            self.clock.after(0, self._send_request)

    def on_http_event(self, event: H3Event) -> None:
        """Send the next request after a complete response."""
        if not _ends_stream(event):
            return
        if self.clock.now > self._network.plan.requests_until:
            self.is_done = True
        else:
            think_s = self.rng.uniform(0, MAX_THINK_S)
            self.clock.after(think_s, self._send_request)

    def _send_request(self) -> None:
        if self.quic is None or self.http is None or self.failure:
            return
        stream_id = self.quic.get_next_available_stream_id()
        self.http.send_headers(stream_id, _REQUEST_HEAD)
        body = bytes(self.rng.choice(REQUEST_BYTES))
        self.http.send_data(stream_id, body, end_stream=True)
        self.transmit()


class _Sidecar(Endpoint):
    """Responds to each request after its service time."""

    client: _Client

    def __init__(
        self,
        network: _Network,
        configuration: QuicConfiguration,
        pause_s: float,
    ) -> None:
        super().__init__(network.clock, network.rng, pause_s)
        self._network = network
        self._configuration = configuration
        self._path = ReturnPath(network.directory)
        self._running = 0
        self.clock.every(KEEPALIVE_S, self._send_keepalive)

    def receive_from(self, balancer: int, datagram: bytes) -> None:
        """Process a datagram that a balancer delivered."""
        address = address_of(balancer)
        self._network.directory.record(address, self.clock.now)
        self._path.record_delivery(address, self.clock.now)
        if self.quic is None:
            self._accept(datagram)
        self.receive(datagram)

    def send(self, datagram: bytes) -> None:
        """Send a datagram through a balancer on the return path."""
        address = self._path.choose(self.clock.now)
        if address is None:
            return
        self._path.record_sent(self.clock.now)
        self._network.carry(
            _balancer_at(address), partial(self.client.receive, datagram)
        )

    def on_quic_event(self, event: QuicEvent) -> None:
        """Free the buffers of the handshake, as the product does."""
        quic = self.quic
        if isinstance(event, HandshakeCompleted) and isinstance(
            quic, ServerConnection
        ):
            quic.drop_handshake_buffers()

    def on_http_event(self, event: H3Event) -> None:
        """Run a request once it is complete."""
        if _ends_stream(event):
            self._running += 1
            stream_id = getattr(event, 'stream_id', 0)
            self.clock.after(
                self.rng.choice(SERVICE_S), partial(self._respond, stream_id)
            )

    def _accept(self, datagram: bytes) -> None:
        header = pull_quic_header(
            Buffer(data=datagram), host_cid_length=CONNECTION_ID_BYTES
        )
        self.quic = ServerConnection(
            self._configuration,
            header.destination_cid,
            lambda: os.urandom(CONNECTION_ID_BYTES),
            lambda _cid: os.urandom(RESET_TOKEN_BYTES),
        )
        self.http = H3Connection(self.quic)

    def _respond(self, stream_id: int) -> None:
        self._running -= 1
        if self.http is None or self.failure:
            return
        self.http.send_headers(stream_id, [(b':status', b'200')])
        body = bytes(self.rng.choice(RESPONSE_BYTES))
        self.http.send_data(stream_id, body, end_stream=True)
        self.transmit()

    def _send_keepalive(self) -> None:
        if self.quic is not None and self._running and not self.failure:
            self.quic.send_ping(id(self))
            self.transmit()


def _ends_stream(event: H3Event) -> bool:
    is_part = isinstance(event, (HeadersReceived, DataReceived))
    return is_part and bool(getattr(event, 'stream_ended', False))


def _balancer_at(address: Address) -> int:
    return int(address.host.rpartition('.')[-1]) - 1
