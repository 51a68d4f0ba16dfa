"""Routes of carried flows, which map service addresses to services."""

__all__ = (
    'SERVICE_ADDRESS_SLICE',
    'Route',
    'RouteTable',
    'TransferKind',
    'Warmup',
    'WeightedService',
)

import enum
import struct
from collections.abc import Iterable

import msgpack
from attrs import field, frozen

from dragonflyshift._internal.carried.packet import FlowKey
from dragonflyshift._internal.carried.rows import decode_row, encode_row
from dragonflyshift._internal.exceptions import ConfigurationError

# The service's address and port, the last six bytes of a flow key.
SERVICE_ADDRESS_SLICE = slice(6, 12)
DEFAULT_IDLE_TIMEOUT_MS = 15_000  # if the configuration has no such limit
_HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash
_HASH_MASK = 0xFFFFFFFF
# The address of a route row that carries a warm-up rate: this mark, the values
# and the service's name. It is longer than the six bytes of a service address,
# so builds without warm-up rates keep the row and propagate it.
_WARMUP_MARK = b'warmup:'
_WARMUP_VALUES = struct.Struct('!dd')
# The address of the route row that lists the services, for the same reason.
_SERVICES_ADDRESS = b'services:'


class TransferKind(enum.IntEnum):
    """The kind of a route's transfers, and whether requests may be repeated."""

    IDEMPOTENT = 0
    NON_IDEMPOTENT = 1
    DOWNLOAD = 2
    UPLOAD = 3


@frozen(repr=False)
class WeightedService:
    """A service and its weight among the services of a route."""

    name: str
    weight: int


@frozen(repr=False)
class Route:
    """The configuration of one service address.

    ``address`` is the IPv4 address and port as in a flow key. ``target_ms`` is
    the latency target, ``timeout_ms`` the time budget of a request; priority
    0 is the highest.
    """

    name: str
    address: bytes
    services: tuple[WeightedService, ...]
    kind: TransferKind
    target_ms: int
    timeout_ms: int
    priority: int

    def choose_service(self, key: FlowKey) -> str:
        """Choose a service by weight and by hash of the client's address.

        All packets of a flow thus lead to the same service.
        """
        if len(self.services) == 1:
            return self.services[0].name
        total = sum(service.weight for service in self.services)
        client_hash = int.from_bytes(key[:6], 'big') * _HASH_MULTIPLIER
        position = ((client_hash >> 8) & _HASH_MASK) % max(1, total)
        for service in self.services:
            position -= service.weight
            if position < 0:
                return service.name
        return self.services[-1].name


@frozen(repr=False)
class Warmup:
    """The slow start of a service's cold servers.

    A server is cold for ``seconds`` after a start. Meanwhile it can take
    ``per_s`` requests per second, which is finite and above zero.
    """

    service: str
    seconds: float
    per_s: float

    def to_route(self) -> Route:
        """Return a route at an address that no packet has, for the wire."""
        address = b''.join(
            (
                _WARMUP_MARK,
                _WARMUP_VALUES.pack(self.seconds, self.per_s),
                self.service.encode(errors='surrogatepass'),
            )
        )
        kind = TransferKind.IDEMPOTENT
        return Route('warmup', address, (), kind, 0, 0, 0)

    @classmethod
    def from_route(cls, route: Route) -> 'Warmup | None':
        """Return the warm-up rate that a route row carries, if any."""
        if not route.address.startswith(_WARMUP_MARK):
            return None
        values = route.address[len(_WARMUP_MARK) :]
        if len(values) < _WARMUP_VALUES.size:
            return None
        seconds, per_s = _WARMUP_VALUES.unpack_from(values)
        name = values[_WARMUP_VALUES.size :]
        return cls(name.decode(errors='surrogatepass'), seconds, per_s)


@frozen(eq=False, repr=False)
class RouteTable:
    """All routes of one configuration version, by service address.

    ``idle_timeout_ms`` is the time after which an idle flow expires.
    ``warmups`` holds the warm-up rates by service. ``services`` are the names
    of all services, also of those without a route; it is empty if they are
    unknown, as builds without them may have sent the table.
    """

    version: int = 0
    routes: dict[bytes, Route] = field(factory=dict)
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS
    warmups: dict[str, Warmup] = field(factory=dict)
    services: frozenset[str] = field(default=frozenset())

    def find(self, key: FlowKey) -> Route | None:
        """Return the route of a flow, or None if this version has none."""
        return self.routes.get(key[SERVICE_ADDRESS_SLICE])

    def encode(self) -> bytes:
        """Return the table as msgpack, for other processes."""
        rows = [encode_row(route) for route in self.routes.values()]
        rows += [encode_row(warm.to_route()) for warm in self.warmups.values()]
        if self.services:
            rows.append(encode_row(_services_to_route(self.services)))
        return bytes(msgpack.packb((self.version, self.idle_timeout_ms, rows)))

    @classmethod
    def decode(cls, raw: bytes) -> 'RouteTable':
        """Decode a table; raise ConfigurationError if it is malformed."""
        try:
            version, idle_timeout_ms, rows = msgpack.unpackb(raw)
            routes = [decode_row(Route, row) for row in rows]
            warmups = [Warmup.from_route(route) for route in routes]
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            raise ConfigurationError(
                f'route table is malformed: {exc}'
            ) from exc
        listed = [rt for rt in routes if rt.address == _SERVICES_ADDRESS]
        table = cls(
            int(version),
            idle_timeout_ms=int(idle_timeout_ms),
            services=frozenset(
                service.name for route in listed for service in route.services
            ),
        )
        for route, warmup in zip(routes, warmups, strict=True):
            if route in listed:
                continue
            if warmup is None:
                table.routes[route.address] = route
            else:
                table.warmups[warmup.service] = warmup
        return table


def _services_to_route(names: Iterable[str]) -> Route:
    """Return a route at an address that no packet has, for the wire."""
    services = tuple(WeightedService(name, 0) for name in sorted(names))
    kind = TransferKind.IDEMPOTENT
    return Route('services', _SERVICES_ADDRESS, services, kind, 0, 0, 0)
