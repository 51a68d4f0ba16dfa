"""The balancer through which a connection's replies leave.

Balancers keep no state of a flow, so any of them can carry any reply. The
latest that delivered is the one known to work; silence after sending is the
only sign that it has died.
"""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, field

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.recovery.balancers import BalancerDirectory

SILENCE_LIMIT_S = 0.5
MAX_DELIVERERS = 4


@define(eq=False)
class ReturnPath:
    """The way back to one client.

    ``directory`` knows the balancers that other connections have heard.
    ``silence_limit`` is how long, in seconds, what was sent may stay without
    any datagram from the client before another balancer is tried.
    """

    directory: BalancerDirectory
    silence_limit: float = SILENCE_LIMIT_S
    _deliverers: OrderedDict[Address, float] = field(factory=OrderedDict)
    _suspected: set[Address] = field(factory=set)
    _chosen: Address | None = None
    _waiting_since: float | None = None

    def delivered(self, balancer: Address, now: float) -> None:
        """Take note that a balancer delivered a datagram of the client."""
        self._deliverers[balancer] = now
        self._deliverers.move_to_end(balancer)
        if len(self._deliverers) > MAX_DELIVERERS:
            self._deliverers.popitem(last=False)
        self._suspected.clear()
        self._waiting_since = None
        self._chosen = balancer

    def sent(self, now: float) -> None:
        """Take note that a datagram which calls for an answer was sent."""
        if self._waiting_since is None:
            self._waiting_since = now

    def choose(self, now: float) -> Address | None:
        """Return the balancer to send through, or None if none is known."""
        if self._silent(now) and self._chosen is not None:
            self._suspected.add(self._chosen)
            self._waiting_since = now
            self._chosen = None
        if self._chosen is None or self.directory.is_leaving(self._chosen):
            self._chosen = self._pick(now)
        return self._chosen

    def reset(self) -> None:
        """Start the silence anew, as is due after a pause."""
        self._suspected.clear()
        self._waiting_since = None

    def _silent(self, now: float) -> bool:
        if self._waiting_since is None:
            return False
        return now - self._waiting_since > self.silence_limit

    def _pick(self, now: float) -> Address | None:
        known = tuple(self._known(now))
        for address in known:
            if address not in self._suspected:
                return address
        self._suspected.clear()
        if known:
            return known[0]
        return next(reversed(self._deliverers), None)

    def _known(self, now: float) -> Iterator[Address]:
        for address in reversed(self._deliverers):
            if not self.directory.is_leaving(address):
                yield address
        for other in self.directory.recent(now):
            if other not in self._deliverers:
                yield other
