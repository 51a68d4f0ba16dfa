"""The balancers from which a sidecar has recently received datagrams."""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define

from dragonflyshift._internal.models import Address

MAX_BALANCERS = 1024
RECENT_S = 30.0


@define(eq=False)
class _Balancer:
    last_seen_at: float
    leaving: bool


class BalancerDirectory:
    """Recently seen balancers, shared by the connections of a process."""

    def __init__(self) -> None:
        """Create an empty directory."""
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
        self._balancers[address] = _Balancer(now, leaving)
        self._balancers.move_to_end(address)
        if len(self._balancers) > MAX_BALANCERS:
            self._balancers.popitem(last=False)

    def is_leaving(self, address: Address) -> bool:
        """Return whether a balancer has reported that it is leaving."""
        balancer = self._balancers.get(address)
        return balancer is not None and balancer.leaving

    def recent(self, now: float) -> Iterator[Address]:
        """Yield the usable balancers, the most recently seen first."""
        for address, balancer in reversed(self._balancers.items()):
            if now - balancer.last_seen_at > RECENT_S:
                return
            if not balancer.leaving:
                yield address

    def reset(self) -> None:
        """Remove all balancers; they are outdated after a pause."""
        self._balancers.clear()
