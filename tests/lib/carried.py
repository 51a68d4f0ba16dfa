"""Builders of objects and packets for tests of carried flows."""

import random
import socket
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field

from dragonflyshift._internal.carried.balancer.forwarder import (
    FlowForwarder,
    ForwarderCallbacks,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.messages import (
    AdmissionRequest,
    Datagram,
    decode_datagram,
)
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.policies.admission import (
    AdmissionPolicy,
    InTimeOnly,
    NewFlow,
)
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.carried.policies.placement import (
    LeastRequests,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import (
    Route,
    RouteTable,
    TransferKind,
    WeightedService,
)
from dragonflyshift._internal.carried.sidecar.admission import PacketSenders
from dragonflyshift._internal.carried.sidecar.backend_tracker import (
    BackendTracker,
)
from dragonflyshift._internal.carried.sidecar.flow_handler import FlowHandler
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift.platform.packets import PlatformCodec

SERVICE = 'lists'
DATA_CENTER = 'klang'
SERVICE_HOST = '198.18.0.1'
SERVICE_PORT = 443
PEER_PORT = 7720
BACKEND_PORT = 8080
SYN = 32
ACK = 16
FIN = 4
RST = 8
BOUNCED = 64


def build_key(number: int = 1, port: int = SERVICE_PORT) -> FlowKey:
    """Return a flow key; each number stands for another client port."""
    return b''.join(
        (
            socket.inet_aton('100.64.0.7'),
            (40_000 + number).to_bytes(2, 'big'),
            socket.inet_aton(SERVICE_HOST),
            port.to_bytes(2, 'big'),
        )
    )


def build_packet(
    key: FlowKey,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: bytes = b'',
    mark: int = 0,
    from_backend: bool = False,
) -> bytes:
    """Return a packet in the platform's wire layout.

    ``key`` is the flow's key in both directions; ``from_backend`` swaps
    source and destination.
    """
    source, destination = key[:6], key[6:]
    if from_backend:
        source, destination = destination, source
    return b''.join(
        (
            sequence.to_bytes(4, 'big'),
            acknowledged.to_bytes(4, 'big'),
            bytes((flags,)),
            mark.to_bytes(4, 'big'),
            source[:4],
            destination[4:],
            destination[:4],
            source[4:],
            b'\1\2\3\4',
            len(payload).to_bytes(2, 'big'),
            payload,
        )
    )


def build_record(number: int = 1, **changes: Any) -> EndpointRecord:
    """Return an endpoint record; each number stands for another host."""
    attributes: dict[str, Any] = {
        'name': f'instance-{number}',
        'revision': number,
        'service': SERVICE,
        'host': f'10.1.0.{number}',
        'port': BACKEND_PORT,
        'data_center': DATA_CENTER,
        'slots': 3,
        'is_leaving': False,
        'warmup_ms': 0,
        'started_ms': 1000,
        **changes,
    }
    return EndpointRecord(**attributes)


def build_evacuation(
    revision: int, *, is_evacuated: bool = True
) -> EvacuationRecord:
    """Return a request to evacuate the data centre, or to restore it."""
    return EvacuationRecord(DATA_CENTER, revision, is_evacuated)


def build_route(**changes: Any) -> Route:
    """Return a route from the service's address to the service."""
    address = socket.inet_aton(SERVICE_HOST) + SERVICE_PORT.to_bytes(2, 'big')
    attributes: dict[str, Any] = {
        'name': 'view',
        'address': address,
        'services': (WeightedService(SERVICE, 1),),
        'kind': TransferKind.IDEMPOTENT,
        'target_ms': 225,
        'timeout_ms': 1200,
        'priority': 2,
        **changes,
    }
    return Route(**attributes)


def build_routes(
    version: int = 1,
    routes: tuple[Route, ...] = (),
) -> RouteTable:
    """Return a table with the given routes, or with the default route."""
    chosen = routes or (build_route(),)
    return RouteTable(version, {route.address: route for route in chosen})


def build_view(endpoints: int = 3, version: int = 1) -> FleetView:
    """Return a view with that many endpoints and the default route."""
    view = FleetView()
    view.routes = build_routes(version)
    for number in range(1, endpoints + 1):
        view.merge(build_record(number))
    view.revision = endpoints
    return view


def build_load(**changes: Any) -> LoadReport:
    """Return the load report of an idle server."""
    attributes: dict[str, Any] = {
        'state': BackendState.SERVING,
        'slots': 3,
        'busy': 0,
        'waiting': 0,
        'open_flows': 0,
        'service_ms': 50.0,
        'knows_all': True,
        'sequence': 1,
        **changes,
    }
    return LoadReport(**attributes)


def build_admission_request(key: FlowKey, **changes: Any) -> AdmissionRequest:
    """Return a balancer's message that offers a new flow to a sidecar."""
    attributes: dict[str, Any] = {
        'service': SERVICE,
        'target_ms': 225,
        'timeout_ms': 1200,
        'priority': 2,
        'slots': 3,
        'version': 1,
        'waited_ms': 0,
        'is_last': True,
        'is_local': True,
        'raw': build_packet(key, SYN),
        **changes,
    }
    return AdmissionRequest(**attributes)


def build_new_flow(number: int = 1, now: float = 0, **changes: Any) -> NewFlow:
    """Return a new flow as a sidecar's admission policy receives it."""
    attributes: dict[str, Any] = {
        'key': build_key(number),
        'raw': b'',
        'arrived_at': now,
        'target_ms': 225,
        'timeout_ms': 1200,
        'priority': 2,
        'is_last': True,
        **changes,
    }
    return NewFlow(**attributes)


@define(eq=False)
class Outbox:
    """Records sent packets and datagrams by kind of recipient."""

    to_backend: list[bytes] = field(factory=list)
    to_client: list[bytes] = field(factory=list)
    to_daemon: list[tuple[Datagram, SocketAddress]] = field(factory=list)

    def add_client_packet(self, raw: bytes, _key: FlowKey) -> None:
        """Record a packet to a client."""
        self.to_client.append(raw)

    def add_datagram(self, raw: bytes, address: SocketAddress) -> None:
        """Decode and record a datagram to another daemon."""
        self.to_daemon.append((decode_datagram(raw), address))

    def clear(self) -> None:
        """Remove all records."""
        self.to_backend.clear()
        self.to_client.clear()
        self.to_daemon.clear()


def build_flow_handler(
    view: FleetView | None = None,
    *,
    knows_all: bool = True,
    policy: AdmissionPolicy | None = None,
) -> tuple[FlowHandler, Outbox]:
    """Return the flow handler of the first endpoint, and its outbox."""
    outbox = Outbox()
    tracker = BackendTracker(
        service=SERVICE,
        address=build_record().address,
        view=view or build_view(),
        policy=policy or InTimeOnly(),
        knows_all=knows_all,
        data_center=DATA_CENTER,
        detects_failures=True,
    )
    tracker.apply_endpoint_record()
    senders = PacketSenders(
        outbox.to_backend.append,
        outbox.add_client_packet,
        outbox.add_datagram,
    )
    return FlowHandler(tracker, PlatformCodec(), senders, Counters()), outbox


def sidecar_address(record: EndpointRecord) -> SocketAddress:
    """Return the peer address of the sidecar beside an endpoint."""
    return (record.host, PEER_PORT)


def ignore(*_args: object) -> None:
    """Ignore a call."""


def _no_age_s(_now: float) -> float:
    return 0


def has_any_view(_sidecars: Iterable[SocketAddress]) -> bool:
    """Return that sidecars list the same endpoints."""
    return True


def build_forwarder(
    view: FleetView,
    outbox: Outbox,
    view_age_s: Callable[[float], float] = _no_age_s,
    request_reader_statuses: Callable[[], None] = ignore,
    has_same_view: Callable[[Iterable[SocketAddress]], bool] = has_any_view,
    request_statuses: Callable[[float, Iterable[SocketAddress]], None] = ignore,
) -> FlowForwarder:
    """Return the forwarder of a balancer that sends to an outbox."""
    return FlowForwarder(
        view,
        SidecarTable(DATA_CENTER, compares_servers=True),
        PlatformCodec(),
        LeastRequests(),
        ForwarderCallbacks(
            outbox.add_datagram,
            outbox.add_client_packet,
            sidecar_address,
            view_age_s,
            has_same_view,
            request_reader_statuses,
            request_statuses,
        ),
        random.Random(1),
        Counters(),
    )
