"""Decides which sidecars may own a flow, and when its server is lost.

A change of routes sends new flows to other services, but leaves open flows at
their servers. The present routes therefore don't show who owns a flow. The
sidecars of the services to which its route leads, or has led, are queried
first, and all others only if those deny it. A flow may be reset only after
every sidecar has denied it.
"""

__all__ = ('OwnerCandidates', 'RouteHistory', 'is_server_lost')

from collections.abc import Collection, Iterable, Mapping

from attrs import define, field, frozen

from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.routes import RouteTable


@frozen(eq=False, repr=False)
class OwnerCandidates:
    """The sidecars that may own a flow, each with the service of its server.

    ``likely`` belong to services to which the flow's route leads or has led.
    Only their servers receive flow probes: no packet reaches a server of a
    service to which its route has never led.
    """

    likely: Mapping[SocketAddress, str]
    others: Mapping[SocketAddress, str]

    @classmethod
    def split(
        cls,
        sidecars: Iterable[tuple[SocketAddress, str]],
        routed_services: Collection[str],
    ) -> 'OwnerCandidates':
        """Divide the sidecars of a view, given as addresses and services."""
        likely: dict[SocketAddress, str] = {}
        others: dict[SocketAddress, str] = {}
        for address, service in sidecars:
            part = likely if service in routed_services else others
            part[address] = service
        return cls(likely, others)

    @property
    def count(self) -> int:
        """The number of sidecars."""
        return len(self.likely) + len(self.others)

    def service_of(self, address: SocketAddress) -> str:
        """Return the service of a sidecar's server, empty if unknown."""
        return self.likely.get(address) or self.others.get(address, '')


@define(eq=False, repr=False)
class RouteHistory:
    """The services to which routes led before, by service address.

    ``lifetime_s`` is the time for which a service is kept after a route
    stopped leading to it, on the clock of the ``now`` arguments.
    """

    lifetime_s: float
    _expirations: dict[bytes, dict[str, float]] = field(factory=dict)

    def record_change(
        self, now: float, before: RouteTable, after: RouteTable
    ) -> None:
        """Keep the services to which the routes no longer lead."""
        self._drop_expired(now)
        for address, route in before.routes.items():
            present = after.routes.get(address)
            if present is not None and present.services == route.services:
                continue
            former = self._expirations.setdefault(address, {})
            for service in route.services:
                former[service.name] = now + self.lifetime_s

    def services(self, now: float, address: bytes) -> Iterable[str]:
        """Return the services to which an address led within the lifetime."""
        former = self._expirations.get(address, {})
        return [name for name, expires_at in former.items() if now < expires_at]

    def _drop_expired(self, now: float) -> None:
        for address, former in tuple(self._expirations.items()):
            if now >= max(former.values()):
                self._expirations.pop(address)


def is_server_lost(
    queried: Collection[SocketAddress],
    denied: Collection[SocketAddress],
    sidecars: Collection[SocketAddress],
    *,
    is_view_current: bool,
) -> bool:
    """Return whether it is certain that no running server holds a flow.

    ``denied`` are the queried sidecars that replied that they don't own the
    flow, ``sidecars`` all those of the present view. A view that may lack a
    sidecar proves nothing. One without any is incomplete: after a loss of power
    the servers register later than the daemons start.
    """
    if not sidecars or not is_view_current:
        return False
    return set(denied) >= set(queried) and set(queried) >= set(sidecars)
