"""The balancers from which a sidecar or its peers have received datagrams."""

import operator
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence

from attrs import define, frozen

from dragonflyshift._internal.models import Address

MAX_BALANCERS = 1024
RECENT_S = 30.0
# A balancer that was seen longer ago is not reported to peers.
REPORTED_S = 2.0
_seen_at = operator.attrgetter('last_seen_at')
_received_at = operator.attrgetter('received_at')


@define(eq=False)
class _Balancer:
    """When any sidecar, and when this one, last received a datagram."""

    last_seen_at: float
    received_at: float
    leaving: bool


@frozen
class BalancerSighting:
    """A balancer and when a datagram of it arrived, in monotonic seconds."""

    address: Address
    at: float


class BalancerDirectory:
    """Recently seen balancers, shared by the connections of a process.

    ``resets`` counts the pauses after which all balancers were removed.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self.resets = 0
        self._balancers: OrderedDict[Address, _Balancer] = OrderedDict()

    def record(
        self,
        address: Address,
        now: float,
        *,
        leaving: bool = False,
    ) -> None:
        """Record a datagram from a balancer.

        ``leaving`` is the flag in the datagram. The balancer that was seen
        least recently is evicted when there are too many.
        """
        self._add(address, _Balancer(now, now, leaving))

    def record_report(self, address: Address, seen_at: float) -> None:
        """Record when a peer received a datagram from a balancer.

        It doesn't show whether a balancer that is leaving has returned.
        """
        known = self._balancers.get(address)
        if known is None:
            self._add(address, _Balancer(seen_at, float('-inf'), leaving=False))
        elif not known.leaving:
            known.last_seen_at = max(known.last_seen_at, seen_at)

    def is_leaving(self, address: Address) -> bool:
        """Return whether a balancer has reported that it is leaving."""
        balancer = self._balancers.get(address)
        return balancer is not None and balancer.leaving

    def recent(self, now: float) -> Iterator[Address]:
        """Yield the usable balancers, the most recently seen first."""
        for sighting in self._newest_first(_seen_at, now - RECENT_S):
            yield sighting.address

    def received(self, now: float) -> Sequence[BalancerSighting]:
        """Return the usable balancers that sent a datagram to this process.

        The most recent one comes first.
        """
        return self._newest_first(_received_at, now - REPORTED_S)

    def reset(self) -> None:
        """Remove all balancers; they are outdated after a pause."""
        self.resets += 1
        self._balancers.clear()

    def _add(self, address: Address, balancer: _Balancer) -> None:
        self._balancers[address] = balancer
        self._balancers.move_to_end(address)
        if len(self._balancers) > MAX_BALANCERS:
            self._balancers.popitem(last=False)

    def _newest_first(
        self, time_of: Callable[[_Balancer], float], since: float
    ) -> list[BalancerSighting]:
        sightings = [
            BalancerSighting(address, time_of(balancer))
            for address, balancer in self._balancers.items()
            if not balancer.leaving and time_of(balancer) >= since
        ]
        return sorted(sightings, key=operator.attrgetter('at'), reverse=True)
