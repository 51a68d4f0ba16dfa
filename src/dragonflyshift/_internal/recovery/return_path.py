"""The choice of the balancer that forwards a connection's replies.

Balancers keep no state of a flow, so each of them can forward any reply. The
balancer that delivered the last datagram is preferred, because it is known to
work. Its failure is detected only by the lack of datagrams after a reply. Then
the balancer from which the process most recently received a datagram is tried:
retransmissions follow each other at growing intervals, so few balancers can be
tried before the client's idle timeout.
"""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, field

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.recovery.balancers import BalancerDirectory

RESPONSE_TIMEOUT_S = 0.5
MAX_DELIVERING_BALANCERS = 4


@define(eq=False)
class ReturnPath:
    """The return path to one client.

    ``directory`` holds the balancers used by all connections of the process.
    Another balancer is tried if no datagram of the client is delivered within
    ``response_timeout`` seconds after a reply was sent.
    """

    directory: BalancerDirectory
    response_timeout: float = RESPONSE_TIMEOUT_S
    _delivering_balancers: OrderedDict[Address, float] = field(
        factory=OrderedDict
    )
    _suspected: set[Address] = field(factory=set)
    _chosen: Address | None = None
    _unanswered_since: float | None = None
    _observed_resets: int = 0

    def record_delivery(self, balancer: Address, now: float) -> None:
        """Record that a balancer delivered a datagram of the client."""
        self._delivering_balancers[balancer] = now
        self._delivering_balancers.move_to_end(balancer)
        if len(self._delivering_balancers) > MAX_DELIVERING_BALANCERS:
            self._delivering_balancers.popitem(last=False)
        self._suspected.clear()
        self._unanswered_since = None
        self._chosen = balancer

    def record_sent(self, now: float) -> None:
        """Record that a datagram to which the client responds was sent."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def choose(self, now: float) -> Address | None:
        """Return the balancer to send through, or None if none is known."""
        if self._observed_resets != self.directory.resets:
            self._restart_detection()
        if self._is_response_overdue(now) and self._chosen is not None:
            self._suspected.add(self._chosen)
            self._unanswered_since = now
            self._chosen = None
        if self._chosen is None or self.directory.is_leaving(self._chosen):
            self._chosen = self._select(now)
        return self._chosen

    def _restart_detection(self) -> None:
        """Forget timeouts: after a pause, responses may wait in the socket."""
        self._observed_resets = self.directory.resets
        self._suspected.clear()
        self._unanswered_since = None

    def _is_response_overdue(self, now: float) -> bool:
        if self._unanswered_since is None:
            return False
        return now - self._unanswered_since > self.response_timeout

    def _select(self, now: float) -> Address | None:
        usable = tuple(self._usable_balancers(now))
        for address in usable:
            if address not in self._suspected:
                return address
        self._suspected.clear()
        if usable:
            return usable[0]
        return next(reversed(self._delivering_balancers), None)

    def _usable_balancers(self, now: float) -> Iterator[Address]:
        """Yield the balancers that are not leaving, the best first.

        Balancers that delivered packets of this connection may have been
        replaced since, so the most recently seen ones of the process come
        first.
        """
        recent = tuple(self.directory.recent(now))
        yield from recent
        for address in reversed(self._delivering_balancers):
            if address not in recent and not self.directory.is_leaving(address):
                yield address
