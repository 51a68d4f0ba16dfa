"""Routes of carried flows: which service takes a flow's first packet."""

__all__ = ('Route', 'RouteTable', 'TransferKind', 'WeightedService')

import enum

import msgpack
from attrs import field, frozen

from dragonflyshift._internal.carried.packet import FlowKey
from dragonflyshift._internal.carried.rows import decode_row, encode_row
from dragonflyshift._internal.exceptions import ConfigurationError

# The last six bytes of a flow key: the service's address and port.
SERVICE_PART = slice(6, 12)
DEFAULT_IDLE_MS = 15_000  # for a table without the limit
_HASH_MULTIPLIER = 2654435761  # Knuth's multiplicative hash
_HASH_MASK = 0xFFFFFFFF


class TransferKind(enum.IntEnum):
    """What a route's requests carry, and whether they may be repeated."""

    IDEMPOTENT = 0
    NON_IDEMPOTENT = 1
    DOWNLOAD = 2
    UPLOAD = 3


@frozen(repr=False)
class WeightedService:
    """A service with its share of a route's new flows."""

    name: str
    weight: int


@frozen(repr=False)
class Route:
    """One service address and what is known of its requests.

    ``target_ms`` is the latency target, ``timeout_ms`` the time budget of a
    request; priority 0 is the highest.
    """

    name: str
    address: bytes
    services: tuple[WeightedService, ...]
    kind: TransferKind
    target_ms: int
    timeout_ms: int
    priority: int

    def service_for(self, key: FlowKey) -> str:
        """Choose by weight; copies of a packet get the same service."""
        if len(self.services) == 1:
            return self.services[0].name
        total = sum(option.weight for option in self.services)
        number = int.from_bytes(key[:6], 'big') * _HASH_MULTIPLIER
        point = ((number >> 8) & _HASH_MASK) % max(1, total)
        for option in self.services:
            point -= option.weight
            if point < 0:
                return option.name
        return self.services[-1].name


@frozen(eq=False, repr=False)
class RouteTable:
    """All routes of one configuration version, by service address."""

    version: int = 0
    routes: dict[bytes, Route] = field(factory=dict)
    idle_ms: int = DEFAULT_IDLE_MS

    def find(self, key: FlowKey) -> Route | None:
        """Return the route of a flow, if this version has it."""
        return self.routes.get(key[SERVICE_PART])

    def encode(self) -> bytes:
        """Return the table as msgpack, for other processes."""
        rows = [encode_row(route) for route in self.routes.values()]
        return bytes(msgpack.packb((self.version, self.idle_ms, rows)))

    @classmethod
    def decode(cls, raw: bytes) -> 'RouteTable':
        """Read a table; raise ConfigurationError when malformed."""
        try:
            version, idle_ms, rows = msgpack.unpackb(raw)
            routes = [decode_row(Route, row) for row in rows]
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            raise ConfigurationError(
                f'route table is malformed: {exc}'
            ) from exc
        table = {route.address: route for route in routes}
        return cls(int(version), table, int(idle_ms))
