"""Routes of carried flows, which map service addresses to services."""

__all__ = (
    'SERVICE_ADDRESS_SLICE',
    'Route',
    'RouteTable',
    'TransferKind',
    'WeightedService',
)

import enum

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


@frozen(eq=False, repr=False)
class RouteTable:
    """All routes of one configuration version, by service address.

    ``idle_timeout_ms`` is the time after which an idle flow expires.
    """

    version: int = 0
    routes: dict[bytes, Route] = field(factory=dict)
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS

    def find(self, key: FlowKey) -> Route | None:
        """Return the route of a flow, or None if this version has none."""
        return self.routes.get(key[SERVICE_ADDRESS_SLICE])

    def encode(self) -> bytes:
        """Return the table as msgpack, for other processes."""
        rows = [encode_row(route) for route in self.routes.values()]
        return bytes(msgpack.packb((self.version, self.idle_timeout_ms, rows)))

    @classmethod
    def decode(cls, raw: bytes) -> 'RouteTable':
        """Decode a table; raise ConfigurationError if it is malformed."""
        try:
            version, idle_timeout_ms, rows = msgpack.unpackb(raw)
            routes = [decode_row(Route, row) for row in rows]
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            raise ConfigurationError(
                f'route table is malformed: {exc}'
            ) from exc
        table = {route.address: route for route in routes}
        return cls(int(version), table, int(idle_timeout_ms))
