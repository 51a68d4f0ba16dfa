"""The balancers from which a sidecar or its peers have received datagrams."""

import operator
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence

from attrs import define

from dragonflyshift._internal.models import Address

MAX_BALANCERS = 1024
RECENT_S = 30.0
# A balancer that was seen longer ago is not reported to peers.
REPORTED_S = 2.0


@define(eq=False)
class _Balancer:
    """When any sidecar, and when this one, last received a datagram."""

    last_seen_at: float
    received_at: float
    leaving: bool


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
        usable = [
            (address, balancer.last_seen_at)
            for address, balancer in self._balancers.items()
            if not balancer.leaving
        ]
        for address, _seen_at in _newest_first(usable, now - RECENT_S):
            yield address

    def received(self, now: float) -> Sequence[tuple[Address, float]]:
        """Return the usable balancers and when they sent a datagram here.

        Balancers that only peers have seen are left out.
        """
        usable = [
            (address, balancer.received_at)
            for address, balancer in self._balancers.items()
            if not balancer.leaving
        ]
        return _newest_first(usable, now - REPORTED_S)

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
    times: Iterable[tuple[Address, float]], since: float
) -> Sequence[tuple[Address, float]]:
    recent = [pair for pair in times if pair[1] >= since]
    return sorted(recent, key=operator.itemgetter(1), reverse=True)
