"""The balancers that a sidecar has heard lately."""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define

from dragonflyshift._internal.models import Address

MAX_BALANCERS = 1024
RECENT_S = 30.0


@define(eq=False)
class _Balancer:
    heard_at: float
    leaving: bool


class BalancerDirectory:
    """All balancers heard lately, shared by the connections of a process."""

    def __init__(self) -> None:
        """Start empty."""
        self._balancers: OrderedDict[Address, _Balancer] = OrderedDict()

    def heard(
        self,
        address: Address,
        now: float,
        *,
        leaving: bool = False,
    ) -> None:
        """Take note of a datagram from a balancer and of its own word."""
        self._balancers[address] = _Balancer(now, leaving)
        self._balancers.move_to_end(address)
        if len(self._balancers) > MAX_BALANCERS:
            self._balancers.popitem(last=False)

    def is_leaving(self, address: Address) -> bool:
        """Tell whether a balancer has said that it leaves."""
        balancer = self._balancers.get(address)
        return balancer is not None and balancer.leaving

    def recent(self, now: float) -> Iterator[Address]:
        """Yield the balancers to send through, the last heard first."""
        for address, balancer in reversed(self._balancers.items()):
            if now - balancer.heard_at > RECENT_S:
                return
            if not balancer.leaving:
                yield address

    def reset(self) -> None:
        """Forget all balancers, as is due after a pause."""
        self._balancers.clear()
