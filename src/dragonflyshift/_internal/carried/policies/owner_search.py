"""Decides which sidecars may own a flow, and when its server is lost.

A change of routes sends new flows to other services, but leaves open flows at
their servers. The present routes therefore don't show who owns a flow. The
sidecars of the services to which its route leads, or has led, are queried
first, and all others only if those deny it. A flow may be reset only after
every sidecar has denied it.

A sidecar that has restarted can only find out by a flow probe whether its
server holds a flow. A server that doesn't hold it bounces the packet and runs
nothing, but each probe to a wrong server costs two messages. So the probes go
to the servers of those services. Others receive them once these have bounced
them, but only if the view is so young that a route may have led elsewhere
before: after a restart of all daemons nobody knows where it led.
"""

__all__ = (
    'OwnerCandidates',
    'ProbeBudget',
    'RouteHistory',
    'choose_probes',
    'is_server_lost',
)

from collections.abc import Collection, Iterable, Mapping, Set

from attrs import define, field, frozen

from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.routes import RouteTable


@frozen(eq=False, repr=False)
class OwnerCandidates:
    """The sidecars that may own a flow, each with the service of its server.

    ``likely`` belong to services to which the flow's route leads or has led,
    as far as the view shows. With ``is_complete`` the view shows all of them.
    """

    likely: Mapping[SocketAddress, str]
    others: Mapping[SocketAddress, str]
    is_complete: bool = False

    @classmethod
    def split(
        cls,
        sidecars: Iterable[tuple[SocketAddress, str]],
        routed_services: Collection[str],
        *,
        is_complete: bool = False,
    ) -> 'OwnerCandidates':
        """Divide the sidecars of a view, given as addresses and services."""
        likely: dict[SocketAddress, str] = {}
        others: dict[SocketAddress, str] = {}
        for address, service in sidecars:
            part = likely if service in routed_services else others
            part[address] = service
        return cls(likely, others, is_complete)

    @property
    def count(self) -> int:
        """The number of sidecars."""
        return len(self.likely) + len(self.others)

    def service_of(self, address: SocketAddress) -> str:
        """Return the service of a sidecar's server, empty if unknown."""
        return self.likely.get(address) or self.others.get(address, '')


def choose_probes(
    candidates: OwnerCandidates,
    unsure: Set[SocketAddress],
    probed: Set[SocketAddress],
) -> list[SocketAddress]:
    """Return the sidecars whose servers may receive flow probes next.

    ``unsure`` are the sidecars whose servers may hold the flow, ``probed``
    those that received a probe. Servers of other services follow once all
    likely ones have received one, unless the view shows that the route has
    never led to them.

    Example:
        >>> rows = [(('10.1.0.1', 1), 'lists'), (('10.1.0.2', 1), 'parts')]
        >>> candidates = OwnerCandidates.split(rows, {'lists'})
        >>> choose_probes(candidates, {('10.1.0.2', 1)}, set())
        [('10.1.0.2', 1)]
    """
    remaining = unsure - probed
    likely = remaining & candidates.likely.keys()
    if likely or candidates.is_complete:
        return sorted(likely)
    return sorted(remaining)


@define(eq=False, repr=False)
class ProbeBudget:
    """Limits the flow probes to servers that are unlikely to hold a flow.

    After a loss of all daemons each flow whose server has ended costs a probe
    at every server. The budget is ``per_s`` probes a second, of which one
    second's may be saved up. Times are in monotonic seconds.

    Example:
        >>> budget = ProbeBudget(per_s=100)
        >>> budget.take(now=0, count=80), budget.take(now=0.5, count=80)
        (80, 70)
    """

    per_s: float
    _left: float = field(init=False)
    _refilled_at: float = field(default=float('-inf'))

    def __attrs_post_init__(self) -> None:
        """Start with the budget of a second."""
        self._left = self.per_s

    def take(self, now: float, count: int) -> int:
        """Return how many of ``count`` probes may be sent now."""
        refill = max(0, now - self._refilled_at) * self.per_s
        self._left = min(self.per_s, self._left + refill)
        self._refilled_at = now
        taken = min(count, int(self._left))
        self._left -= taken
        return taken


@define(eq=False, repr=False)
class RouteHistory:
    """The services to which routes led before, by service address.

    ``lifetime_s`` is the time for which a service is kept after a route
    stopped leading to it, or the configuration stopped naming it, on the clock
    of the ``now`` arguments. ``since`` is when the history began on that clock.
    """

    lifetime_s: float
    since: float = field(default=float('-inf'))
    _expirations: dict[bytes, dict[str, float]] = field(factory=dict)
    _dropped: dict[str, float] = field(factory=dict)

    def record_change(
        self, now: float, before: RouteTable, after: RouteTable
    ) -> None:
        """Keep the services to which the routes no longer lead."""
        self._drop_expired(now)
        for name in before.services - after.services:
            self._dropped[name] = now + self.lifetime_s
        for address, route in before.routes.items():
            present = after.routes.get(address)
            if present is not None and present.services == route.services:
                continue
            former = self._expirations.setdefault(address, {})
            for service in route.services:
                former[service.name] = now + self.lifetime_s

    def is_complete(self, now: float) -> bool:
        """Return whether the history covers its whole lifetime."""
        return now - self.since >= self.lifetime_s

    def services(self, now: float, address: bytes) -> Iterable[str]:
        """Return the services to which an address led within the lifetime."""
        former = self._expirations.get(address, {})
        return [name for name, expires_at in former.items() if now < expires_at]

    def dropped_services(self, now: float) -> set[str]:
        """Return the services that were named within the lifetime."""
        return {name for name, at in self._dropped.items() if now < at}

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
