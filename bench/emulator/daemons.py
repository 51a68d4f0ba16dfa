"""Balancers and sidecars on the virtual clock: loading, running or dark."""

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
from tests.lib.carried import PEER_PORT

CLIENT = 0
PEER = 1
BACKEND = 2
SWEEP_S = 1.0
_CODEC = PlatformCodec()


@define(eq=False)
class Network:
    """How daemons reach each other and the clients."""

    clock: VirtualClock
    to_peer: Callable[[SocketAddress, bytes, SocketAddress], None]
    to_client: Callable[[bytes], None]


@define(eq=False)
class _Daemon(ABC):
    """A process that takes datagrams one after the other."""

    pair: SocketAddress
    network: Network
    view: FleetView
    rng: random.Random
    load_s: float
    packet_ms: float
    is_bound: bool = False
    is_loaded: bool = False
    _life: int = 0
    _free_at: float = 0
    _held: list[tuple[int, bytes, SocketAddress]] = field(factory=list)

    def stop(self) -> None:
        """Lose everything."""
        self.is_bound = False
        self.is_loaded = False
        self._life += 1
        self._held.clear()

    def start(self, *, load_s: float | None = None) -> None:
        """Bind the sockets, and work once everything is loaded."""
        self.is_bound = True
        self.network.clock.after(
            self.load_s if load_s is None else load_s,
            partial(self._loaded, self._life),
        )

    def datagram(self, kind: int, raw: bytes, source: SocketAddress) -> None:
        """Take a datagram from one of the sockets."""
        if self.is_loaded:
            self._schedule(kind, raw, source)
        elif self.is_bound:
            self._held.append((kind, raw, source))

    @abstractmethod
    def create(self) -> None:
        """Build the role's objects anew."""

    @abstractmethod
    def handle(self, kind: int, raw: bytes, source: SocketAddress) -> None:
        """Act on a datagram."""

    @abstractmethod
    def tick(self) -> None:
        """Do the periodic work."""

    def _schedule(self, kind: int, raw: bytes, source: SocketAddress) -> None:
        clock = self.network.clock
        self._free_at = max(clock.now, self._free_at)
        self._free_at += self.packet_ms / MS_PER_S
        clock.after(
            self._free_at - clock.now,
            partial(self._run, self._life, kind, raw, source),
        )

    def _run(
        self, life: int, kind: int, raw: bytes, source: SocketAddress
    ) -> None:
        if life == self._life:
            self.handle(kind, raw, source)

    def _loaded(self, life: int) -> None:
        if life != self._life:
            return
        self.is_loaded = True
        self.create()
        for kind, raw, source in self._held:
            self._schedule(kind, raw, source)
        self._held.clear()


@define(eq=False)
class EmulatedBalancer(_Daemon):
    """A balancer's packet path."""

    data_center: str = ''
    placement: type[FlowPlacement] = field(kw_only=True)
    forwarder: FlowForwarder = field(init=False)

    def create(self) -> None:
        """Build the role's objects anew."""
        self.forwarder = FlowForwarder(
            self.view,
            SidecarTable(self.data_center),
            _CODEC,
            self.placement(),
            ForwarderCallbacks(
                self._to_sidecar,
                self._to_client,
                _sidecar_of,
                _fresh,
                _confirmed,
            ),
            self.rng,
            Counters(),
        )

    def handle(self, kind: int, raw: bytes, source: SocketAddress) -> None:
        """Act on a datagram."""
        now = self.network.clock.now
        if kind == CLIENT:
            self.forwarder.on_client_packet(now, raw)
            return
        message = decode_datagram(raw)
        if isinstance(message, FlowReply):
            self.forwarder.on_flow_reply(now, message, source)
        elif isinstance(message, LookupResult):
            self.forwarder.on_lookup_result(now, message, source)

    def tick(self) -> None:
        """Do the periodic work."""
        if self.is_loaded:
            self.forwarder.tick(self.network.clock.now)

    def _to_sidecar(self, raw: bytes, pair: SocketAddress) -> None:
        self.network.to_peer(self.pair, raw, pair)

    def _to_client(self, raw: bytes, _key: FlowKey) -> None:
        self.network.to_client(raw)


@define(eq=False)
class EmulatedSidecar(_Daemon):
    """A sidecar's packet path, beside its backend server."""

    service: str = ''
    backend: EmulatedBackend = field(kw_only=True)
    policy: type[AdmissionPolicy] = field(kw_only=True)
    knows_all: bool = True
    flow_handler: FlowHandler = field(init=False)
    lookup_delegate: LookupDelegate = field(init=False)
    _swept_at: float = 0

    def create(self) -> None:
        """Build the role's objects anew."""
        backend = (self.pair[0], self.backend_port)
        tracker = BackendTracker(
            service=self.service,
            address=backend,
            view=self.view,
            policy=self.policy(),
            knows_all=self.knows_all,
        )
        tracker.apply_endpoint_record()
        ports = PacketSenders(
            self.backend.packet,
            self._to_client,
            self._to_balancer,
        )
        self.flow_handler = FlowHandler(tracker, _CODEC, ports, Counters())
        self.lookup_delegate = LookupDelegate(
            self.view,
            _CODEC,
            LookupDelegateCallbacks(
                self._to_balancer,
                _sidecar_of,
                _confirmed,
                self.flow_handler.admission.record_malformed,
            ),
        )

    @property
    def backend_port(self) -> int:
        """The port of the backend server in the register."""
        return next(
            record.port
            for record in self.view.records.values()
            if record.host == self.pair[0]
        )

    def handle(self, kind: int, raw: bytes, source: SocketAddress) -> None:
        """Act on a datagram."""
        now = self.network.clock.now
        if kind == BACKEND:
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
        """Do the periodic work."""
        if not self.is_loaded:
            return
        now = self.network.clock.now
        self.flow_handler.tick(now)
        self.lookup_delegate.tick(now)
        if now - self._swept_at > SWEEP_S:
            self._swept_at = now
            self.flow_handler.sweep(now)

    def _to_balancer(self, raw: bytes, pair: SocketAddress) -> None:
        self.network.to_peer(self.pair, raw, pair)

    def _to_client(self, raw: bytes, _key: FlowKey) -> None:
        self.network.to_client(raw)


def _sidecar_of(record: EndpointRecord) -> SocketAddress:
    return (record.host, PEER_PORT)


def _fresh(_now: float) -> float:
    return 0


def _confirmed() -> None:
    """The view is always current here."""
