"""Balancer and sidecar processes on the virtual clock."""

__all__ = ('EmulatedBalancer', 'EmulatedSidecar')

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial

from attrs import define, field

from bench.emulator.backend import EmulatedBackend
from bench.emulator.clock import VirtualClock
from bench.emulator.scenario import MS_PER_S
from dragonflyshift._internal.carried.balancer import (
    FlowForwarder,
    ForwarderCallbacks,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    FlowReply,
    ForwardedPacket,
    LookupRequest,
    LookupResult,
    OwnershipQuery,
    decode_datagram,
)
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.policies.admission import AdmissionPolicy
from dragonflyshift._internal.carried.policies.placement import FlowPlacement
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.sidecar import FlowHandler
from dragonflyshift._internal.carried.sidecar.admission import PacketSenders
from dragonflyshift._internal.carried.sidecar.backend_tracker import (
    BackendTracker,
)
from dragonflyshift._internal.carried.sidecar.lookup_delegate import (
    LookupDelegate,
    LookupDelegateCallbacks,
)
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import BACKEND_PORT, PEER_PORT

# The sockets at which a datagram arrives.
CLIENT = 0
PEER = 1
BACKEND = 2
SWEEP_S = 1.0
_CODEC = PlatformCodec()


@define(eq=False)
class Network:
    """Links between the daemons and to the clients.

    ``to_peer(source, raw, target)`` sends a datagram from one daemon to
    another and ``to_client(raw)`` sends a packet to its client.
    """

    clock: VirtualClock
    to_peer: Callable[[SocketAddress, bytes, SocketAddress], None]
    to_client: Callable[[bytes], None]


@define(eq=False)
class _Daemon(ABC):
    """Process that handles one datagram at a time.

    It is stopped, loading or running. It becomes able to handle datagrams
    ``load_s`` seconds after its start, and each takes ``packet_ms``
    milliseconds. ``address`` is the peer address.
    """

    address: SocketAddress
    network: Network
    view: FleetView
    rng: random.Random
    load_s: float
    packet_ms: float
    is_bound: bool = False
    bound_at: float = 0
    is_loaded: bool = False
    # Counts stops, so that events scheduled before one are ignored.
    _generation: int = 0
    # The time at which all datagrams queued so far have been handled.
    _free_at: float = 0
    _buffered: list[tuple[int, bytes, SocketAddress]] = field(factory=list)

    def stop(self) -> None:
        """End the process; its state and buffered datagrams are lost."""
        self.is_bound = False
        self.is_loaded = False
        self._generation += 1
        self._buffered.clear()

    def start(self, *, load_s: float | None = None) -> None:
        """Bind the sockets, and handle datagrams after ``load_s`` seconds.

        Datagrams that arrive before that are buffered.
        """
        self.is_bound = True
        self.bound_at = self.network.clock.now
        self.network.clock.after(
            self.load_s if load_s is None else load_s,
            partial(self._on_loaded, self._generation),
        )

    def on_datagram(
        self, channel: int, raw: bytes, source: SocketAddress
    ) -> None:
        """Queue a datagram that arrives at the socket ``channel``."""
        if self.is_loaded:
            self._schedule(channel, raw, source)
        elif self.is_bound:
            self._buffered.append((channel, raw, source))

    @abstractmethod
    def create(self) -> None:
        """Create the objects of the role without any earlier state."""

    @abstractmethod
    def handle(self, channel: int, raw: bytes, source: SocketAddress) -> None:
        """Process a datagram that arrived at the socket ``channel``."""

    @abstractmethod
    def tick(self) -> None:
        """Run the periodic tasks if the process is loaded."""

    @abstractmethod
    def on_view_changed(self) -> None:
        """Apply a change of the view if the process is loaded."""

    def _schedule(
        self, channel: int, raw: bytes, source: SocketAddress
    ) -> None:
        clock = self.network.clock
        self._free_at = max(clock.now, self._free_at)
        self._free_at += self.packet_ms / MS_PER_S
        clock.after(
            self._free_at - clock.now,
            partial(
                self._handle_datagram, self._generation, channel, raw, source
            ),
        )

    def _handle_datagram(
        self, generation: int, channel: int, raw: bytes, source: SocketAddress
    ) -> None:
        if generation == self._generation:
            self.handle(channel, raw, source)

    def _on_loaded(self, generation: int) -> None:
        if generation != self._generation:
            return
        self.is_loaded = True
        self.create()
        for channel, raw, source in self._buffered:
            self._schedule(channel, raw, source)
        self._buffered.clear()


@define(eq=False)
class EmulatedBalancer(_Daemon):
    """Process that runs the packet path of a balancer."""

    data_center: str = ''
    placement: type[FlowPlacement] = field(kw_only=True)
    forwarder: FlowForwarder = field(init=False)

    def create(self) -> None:
        """Create the objects of the role without any earlier state."""
        self.forwarder = FlowForwarder(
            self.view,
            SidecarTable(self.data_center, compares_servers=True),
            _CODEC,
            self.placement(),
            ForwarderCallbacks(
                self._to_sidecar,
                self._to_client,
                _sidecar_address,
                _view_age_s,
                _has_same_view,
                _request_nothing,
                _request_nothing,
            ),
            self.rng,
            Counters(),
        )

    def handle(self, channel: int, raw: bytes, source: SocketAddress) -> None:
        """Process a datagram that arrived at the socket ``channel``."""
        now = self.network.clock.now
        if channel == CLIENT:
            self.forwarder.on_client_packet(now, raw)
            return
        message = decode_datagram(raw)
        if isinstance(message, FlowReply):
            self.forwarder.on_flow_reply(now, message, source)
        elif isinstance(message, LookupResult):
            self.forwarder.on_lookup_result(now, message, source)

    def tick(self) -> None:
        """Run the periodic tasks if the process is loaded."""
        if self.is_loaded:
            self.forwarder.tick(self.network.clock.now)

    def on_view_changed(self) -> None:
        """Apply a change of the view if the process is loaded."""
        if self.is_loaded:
            self.forwarder.placer.view_changed(self.network.clock.now)

    def _to_sidecar(self, raw: bytes, address: SocketAddress) -> None:
        self.network.to_peer(self.address, raw, address)

    def _to_client(self, raw: bytes, _key: FlowKey) -> None:
        self.network.to_client(raw)


@define(eq=False)
class EmulatedSidecar(_Daemon):
    """Process that runs the packet path of a sidecar next to its server.

    ``knows_all`` is False while the server may hold flows that the sidecar has
    no record of. It is False from the first power loss on.
    """

    service: str = ''
    data_center: str = ''
    backend: EmulatedBackend = field(kw_only=True)
    policy: type[AdmissionPolicy] = field(kw_only=True)
    knows_all: bool = True
    flow_handler: FlowHandler = field(init=False)
    lookup_delegate: LookupDelegate = field(init=False)
    _swept_at: float = 0

    def create(self) -> None:
        """Create the objects of the role without any earlier state."""
        backend_address = (self.address[0], BACKEND_PORT)
        tracker = BackendTracker(
            service=self.service,
            address=backend_address,
            view=self.view,
            policy=self.policy(),
            knows_all=self.knows_all,
            data_center=self.data_center,
            detects_failures=True,
        )
        tracker.apply_endpoint_record()
        senders = PacketSenders(
            self.backend.on_packet,
            self._to_client,
            self._to_balancer,
        )
        self.flow_handler = FlowHandler(tracker, _CODEC, senders, Counters())
        self.lookup_delegate = LookupDelegate(
            self.view,
            _CODEC,
            LookupDelegateCallbacks(
                self._to_balancer,
                _sidecar_address,
                _request_nothing,
                self.flow_handler.admission.record_malformed,
            ),
        )

    def handle(self, channel: int, raw: bytes, source: SocketAddress) -> None:
        """Process a datagram that arrived at the socket ``channel``."""
        now = self.network.clock.now
        if channel == BACKEND:
            self.flow_handler.on_backend_packet(now, raw)
            return
        message = decode_datagram(raw)
        if isinstance(message, AdmissionRequest):
            self.flow_handler.on_admission_request(now, message, source)
        elif isinstance(message, ForwardedPacket):
            self.flow_handler.on_forwarded_packet(now, message, source)
        elif isinstance(message, OwnershipQuery):
            self.flow_handler.on_ownership_query(now, message, source)
        elif isinstance(message, LookupRequest | FlowReply):
            self.lookup_delegate.on_message(now, message, source)

    def tick(self) -> None:
        """Run the periodic tasks if the process is loaded."""
        if not self.is_loaded:
            return
        now = self.network.clock.now
        self.flow_handler.tick(now)
        self.lookup_delegate.tick(now)
        if now - self._swept_at > SWEEP_S:
            self._swept_at = now
            self.flow_handler.sweep(now)

    def on_view_changed(self) -> None:
        """Apply a change of the view if the process is loaded."""
        if self.is_loaded:
            self.flow_handler.view_changed(self.network.clock.now)

    def _to_balancer(self, raw: bytes, address: SocketAddress) -> None:
        self.network.to_peer(self.address, raw, address)

    def _to_client(self, raw: bytes, _key: FlowKey) -> None:
        self.network.to_client(raw)


def _sidecar_address(record: EndpointRecord) -> SocketAddress:
    return (record.host, PEER_PORT)


def _view_age_s(_now: float) -> float:
    return 0


def _request_nothing(*_args: object) -> None:
    """Do nothing: the simulated view is always current."""


def _has_same_view(_sidecars: object) -> bool:
    return True
