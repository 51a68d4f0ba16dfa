"""Load reports from a sidecar to balancers.

Replies about flows also carry the load. Between such replies only balancers
of the sidecar's own data centre receive reports: they place flows here first,
and traffic between data centres is expensive.
"""

__all__ = ('LoadReporter',)

from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import FlowReply, FlowStatus
from dragonflyshift._internal.carried.packet import (
    FLOW_KEY_BYTES,
    SocketAddress,
)

# A balancer receives load changes for this time after a new flow from it.
RECIPIENT_LIFETIME_S = 2.0
MIN_REPORT_INTERVAL_S = 0.03
# Limit for all recipients together: the more there are, the less often each
# receives a report.
MAX_REPORTS_PER_S = 100
NO_FLOW = bytes(FLOW_KEY_BYTES)


@define(eq=False, repr=False)
class LoadReporter:
    """Reports load changes to the balancers that place flows here.

    ``load(now)`` returns the current load report; ``send(datagram, address)``
    sends it to a balancer. ``is_avoided(now)`` returns whether the report
    includes the cost of failures.
    """

    load: Callable[[float], LoadReport]
    send: Callable[[bytes, SocketAddress], None]
    is_avoided: Callable[[float], bool] = lambda _now: False
    _recipients: dict[SocketAddress, float] = field(factory=dict)
    _reported_level: tuple[int, ...] = field(default=())
    _reported_at: float = field(default=float('-inf'))

    def add_recipient(self, now: float, balancer: SocketAddress) -> None:
        """Add a balancer that sent a new flow, or extend its lifetime."""
        self._recipients[balancer] = now

    def report_change(self, now: float) -> None:
        """Report the load if it changed and the rate limit allows it."""
        interval_s = max(
            MIN_REPORT_INTERVAL_S,
            len(self._recipients) / MAX_REPORTS_PER_S,
        )
        if now - self._reported_at < interval_s or not self._recipients:
            return
        load = self.load(now)
        level = (
            int(load.state),
            load.busy,
            load.waiting,
            int(self.is_avoided(now)),
        )
        if level == self._reported_level:
            return
        self._reported_level = level
        self._reported_at = now
        report = FlowReply(NO_FLOW, FlowStatus.LOAD, load).encode()
        for balancer in self._recipients:
            self.send(report, balancer)

    def sweep(self, now: float) -> None:
        """Remove balancers that have sent no new flow recently."""
        for balancer, last_new_flow_at in tuple(self._recipients.items()):
            if now - last_new_flow_at > RECIPIENT_LIFETIME_S:
                self._recipients.pop(balancer)
