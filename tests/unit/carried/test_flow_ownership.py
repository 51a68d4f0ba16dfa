"""Checks random histories of flows, restarts and route changes.

No server ends in them, so no daemon may reset an open flow. Datagrams arrive
late, twice or never, copies of first packets reach other balancers, routes
move between services, and daemons restart and learn of new routes at any time.
"""

import random
import unittest
from unittest.mock import patch

from attrs import define, field
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from dragonflyshift._internal.carried.balancer import owner_lookup
from dragonflyshift._internal.carried.balancer.forwarder import (
    FlowForwarder,
    ForwarderCallbacks,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
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
from dragonflyshift._internal.carried.policies.admission import InTimeOnly
from dragonflyshift._internal.carried.policies.placement import (
    LeastRequests,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import RouteTable, WeightedService
from dragonflyshift._internal.carried.sidecar.admission import PacketSenders
from dragonflyshift._internal.carried.sidecar.backend_tracker import (
    BackendTracker,
)
from dragonflyshift._internal.carried.sidecar.flow_handler import FlowHandler
from dragonflyshift._internal.carried.sidecar.lookup_delegate import (
    LookupDelegate,
    LookupDelegateCallbacks,
)
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import (
    ACK,
    BOUNCED,
    DATA_CENTER,
    PEER_PORT,
    SYN,
    build_key,
    build_packet,
    build_record,
    build_route,
    build_routes,
    has_any_view,
    ignore,
    sidecar_address,
)

_CODEC = PlatformCodec()
_SERVICES = ('lists', 'parts')
_SERVERS = 4
_BALANCERS = 2
_ACK_WINDOW = 76_800
_SEQUENCE_STEP = 1_000_000
_FLAGS_OFFSET = 8
_MAX_DELIVERIES = 300
# A lookup that is denied resets a flow within this time.
_SETTLING_STEPS = 4
_SETTLING_STEP_S = 0.06


def _routes(version: int, services: tuple[str, ...]) -> RouteTable:
    weighted = tuple(WeightedService(name, 1) for name in services)
    return build_routes(version, (build_route(services=weighted),))


@define(eq=False)
class _Server:
    """A backend server; ``open_flows`` are those whose handshake has ended."""

    number: int
    sequences: dict[FlowKey, int] = field(factory=dict)
    open_flows: set[FlowKey] = field(factory=set)

    def on_packet(self, raw: bytes) -> bytes | None:
        """Return the response to a packet, or None."""
        packet = _CODEC.from_client(raw)
        key = packet.key
        if packet.is_first:
            sequence = self.sequences.setdefault(
                key, _SEQUENCE_STEP * (10 * len(self.sequences) + self.number)
            )
            return build_packet(
                key, SYN | ACK, sequence=sequence, from_backend=True
            )
        if self.sequences.get(key) != packet.acknowledged - 1:
            bounced = bytearray(raw)
            bounced[_FLAGS_OFFSET] |= BOUNCED
            return bytes(bounced)
        self.open_flows.add(key)
        return build_packet(key, ACK, payload=b'answer', from_backend=True)


@define(eq=False)
class _Client:
    """The client of a flow; ``acknowledged`` is None until it has opened."""

    key: FlowKey
    acknowledged: int | None = None
    is_reset: bool = False


class FlowOwnershipMachine(RuleBasedStateMachine):
    """Balancers, sidecars, servers and clients around a lossy network."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0
        self.version = 1
        self.services: tuple[str, ...] = _SERVICES[:1]
        self.clients: list[_Client] = []
        self.broken: list[str] = []
        # Datagrams under way: recipient, content and sender.
        self.network: list[tuple[SocketAddress, bytes, SocketAddress]] = []
        self.records = [
            build_record(number, service=_SERVICES[number % 2])
            for number in range(1, _SERVERS + 1)
        ]
        self.servers = [_Server(number) for number in range(1, _SERVERS + 1)]
        self.views: dict[SocketAddress, FleetView] = {}
        self.balancers: dict[SocketAddress, FlowForwarder] = {}
        self.sidecars: dict[
            SocketAddress, tuple[FlowHandler, LookupDelegate]
        ] = {}
        self.balancer_addresses = [
            (f'10.2.0.{number}', PEER_PORT)
            for number in range(1, _BALANCERS + 1)
        ]
        for address in self.balancer_addresses:
            self._start_balancer(address)
        for index in range(_SERVERS):
            self._start_sidecar(index, knows_all=True)

    @rule(
        balancer=st.integers(0, _BALANCERS - 1),
        copy_to=st.none() | st.integers(0, _BALANCERS - 1),
        is_served=st.booleans(),
    )
    def open_flow(
        self, balancer: int, copy_to: int | None, is_served: bool
    ) -> None:
        """Send a first packet and maybe a copy; use the flow if served."""
        client = _Client(build_key(len(self.clients)))
        self.clients.append(client)
        self._send(balancer, build_packet(client.key, SYN))
        if copy_to is not None:
            self._send(copy_to, build_packet(client.key, SYN, acknowledged=1))
        if is_served:
            self._deliver_all()
            self.use_flow(len(self.clients) - 1, balancer, is_settled=True)

    @precondition(lambda machine: machine.clients)
    @rule(
        flow=st.integers(0, 3),
        balancer=st.integers(0, _BALANCERS - 1),
        is_settled=st.booleans(),
    )
    def use_flow(self, flow: int, balancer: int, is_settled: bool) -> None:
        """Send a request; if settled, let all that follows from it end."""
        client = self.clients[flow % len(self.clients)]
        if client.acknowledged is not None and not client.is_reset:
            raw = build_packet(
                client.key,
                ACK,
                acknowledged=client.acknowledged,
                payload=b'GET',
            )
            self._send(balancer, raw)
        if is_settled:
            for _ in range(_SETTLING_STEPS):
                self._deliver_all()
                self.advance(_SETTLING_STEP_S)

    @precondition(lambda machine: machine.network)
    @rule(
        fate=st.sampled_from(('late', 'lost', 'twice')),
        index=st.integers(0, 20),
    )
    def disturb(self, fate: str, index: int) -> None:
        """Deliver a datagram before others, lose it or send it twice."""
        index %= len(self.network)
        if fate == 'lost':
            self.network.pop(index)
        elif fate == 'twice':
            self.network.append(self.network[index])
        else:
            self._deliver(index)

    @rule(seconds=st.sampled_from((0.01, 0.06, 0.3)))
    def advance(self, seconds: float) -> None:
        """Let time pass for the timeouts of all daemons."""
        self.now += seconds
        for forwarder in self.balancers.values():
            forwarder.tick(self.now)
        for handler, delegate in self.sidecars.values():
            handler.tick(self.now)
            delegate.tick(self.now)

    @rule(
        services=st.sampled_from((('lists',), ('parts',), _SERVICES)),
        missed_by=st.sets(
            st.integers(0, _BALANCERS + _SERVERS - 1), max_size=3
        ),
    )
    def move_routes(
        self, services: tuple[str, ...], missed_by: set[int]
    ) -> None:
        """Publish routes, which some daemons miss until the next version."""
        self.version += 1
        self.services = services
        for index, address in enumerate(sorted(self.views)):
            if index not in missed_by:
                routes = _routes(self.version, services)
                self.views[address].apply(
                    ViewUpdate(_SERVERS, _SERVERS, routes=routes)
                )

    @rule(index=st.integers(0, _BALANCERS + _SERVERS - 1))
    def restart(self, index: int) -> None:
        """Replace a daemon by a new process without earlier state."""
        if index < _BALANCERS:
            self._start_balancer(self.balancer_addresses[index])
        else:
            self._start_sidecar(index - _BALANCERS, knows_all=False)

    @invariant()
    def no_open_flow_is_reset(self) -> None:
        assert not self.broken, self.broken

    def _start_balancer(self, address: SocketAddress) -> None:
        view = self._new_view(address)
        self.balancers[address] = FlowForwarder(
            view,
            SidecarTable(DATA_CENTER),
            _CODEC,
            LeastRequests(),
            ForwarderCallbacks(
                lambda raw, target: self.network.append((target, raw, address)),
                self._on_client_packet,
                sidecar_address,
                lambda _now: 0,
                has_any_view,
                ignore,
                ignore,
            ),
            random.Random(1),
            Counters(),
        )

    def _start_sidecar(self, index: int, *, knows_all: bool) -> None:
        record = self.records[index]
        address = sidecar_address(record)
        view = self._new_view(address)
        tracker = BackendTracker(
            service=record.service,
            address=record.address,
            view=view,
            policy=InTimeOnly(),
            knows_all=knows_all,
        )

        def send(raw: bytes, target: SocketAddress) -> None:
            self.network.append((target, raw, address))

        senders = PacketSenders(
            lambda raw: self.network.append((record.address, raw, address)),
            self._on_client_packet,
            send,
        )
        handler = FlowHandler(tracker, _CODEC, senders, Counters())
        delegate = LookupDelegate(
            view,
            _CODEC,
            LookupDelegateCallbacks(send, sidecar_address, ignore, ignore),
        )
        self.sidecars[address] = (handler, delegate)

    def _new_view(self, address: SocketAddress) -> FleetView:
        """Return the view of a daemon that starts now."""
        view = FleetView(clock=lambda: self.now)
        for record in self.records:
            view.merge(record)
        view.revision = _SERVERS
        view.routes = _routes(self.version, self.services)
        self.views[address] = view
        return view

    def _send(self, balancer: int, raw: bytes) -> None:
        address = self.balancer_addresses[balancer]
        self.balancers[address].on_client_packet(self.now, raw)

    def _deliver_all(self) -> None:
        for _ in range(_MAX_DELIVERIES):
            if self.network:
                self._deliver(0)

    def _deliver(self, index: int) -> None:
        target, raw, sender = self.network.pop(index)
        for record, server in zip(self.records, self.servers, strict=True):
            if target == record.address:
                self._deliver_to_server(record, server, raw)
                return
        forwarder = self.balancers.get(target)
        if forwarder is not None:
            self._deliver_to_balancer(forwarder, raw, sender)
        elif target in self.sidecars:
            self._deliver_to_sidecar(target, raw, sender)

    def _deliver_to_server(
        self, record: EndpointRecord, server: _Server, raw: bytes
    ) -> None:
        response = server.on_packet(raw)
        if response is not None:
            handler, _delegate = self.sidecars[sidecar_address(record)]
            handler.on_backend_packet(self.now, response)

    def _deliver_to_balancer(
        self, forwarder: FlowForwarder, raw: bytes, sender: SocketAddress
    ) -> None:
        message = decode_datagram(raw)
        if isinstance(message, FlowReply):
            forwarder.on_flow_reply(self.now, message, sender)
        elif isinstance(message, LookupResult):
            forwarder.on_lookup_result(self.now, message, sender)

    def _deliver_to_sidecar(
        self, target: SocketAddress, raw: bytes, sender: SocketAddress
    ) -> None:
        handler, delegate = self.sidecars[target]
        message = decode_datagram(raw)
        if isinstance(message, ForwardedPacket):
            handler.on_forwarded_packet(self.now, message, sender)
        elif isinstance(message, AdmissionRequest):
            handler.on_admission_request(self.now, message, sender)
        elif isinstance(message, OwnershipQuery):
            handler.on_ownership_query(self.now, message, sender)
        elif isinstance(message, LookupRequest | FlowReply):
            delegate.on_message(self.now, message, sender)

    def _on_client_packet(self, raw: bytes, key: FlowKey) -> None:
        client = next(item for item in self.clients if item.key == key)
        packet = _CODEC.from_backend(raw)
        if packet.is_syn and client.acknowledged is None:
            client.acknowledged = packet.sequence + 1
        if not packet.is_rst or client.acknowledged is None:
            return
        if abs(packet.sequence - client.acknowledged) > _ACK_WINDOW:
            return
        client.is_reset = True
        for server in self.servers:
            if key in server.open_flows:
                self.broken.append(f'flow of server {server.number} was reset')


_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=25,
    phases=(Phase.explicit, Phase.generate, Phase.shrink),
)


class DirectLookupTest(FlowOwnershipMachine.TestCase):
    settings = _SETTINGS


class DelegatedLookupTest(FlowOwnershipMachine.TestCase):
    settings = _SETTINGS

    def setUp(self) -> None:
        super().setUp()
        patcher = patch.object(owner_lookup, 'MAX_QUERIED_SIDECARS', 1)
        patcher.start()
        self.addCleanup(patcher.stop)


if __name__ == '__main__':
    unittest.main()
