"""Telling balancers how busy the backend server is.

Answers to new flows carry the load as well. Between them only the balancers
of the sidecar's own data centre are told: they place flows here first, and
bytes between data centres are dear.
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

# A balancer that sent a new flow within this time hears of load changes.
RECIPIENT_LIFETIME_S = 2.0
MIN_REPORT_INTERVAL_S = 0.03
# Reports to all balancers together; with many each is told less often.
MAX_REPORTS_PER_S = 100
NO_FLOW = bytes(FLOW_KEY_BYTES)


@define(eq=False, repr=False)
class LoadReporter:
    """Report a changed load to the balancers that place flows here."""

    load: Callable[[float], LoadReport]
    send: Callable[[bytes, SocketAddress], None]
    _recipients: dict[SocketAddress, float] = field(factory=dict)
    _reported: tuple[int, ...] = field(default=())
    _reported_at: float = field(default=float('-inf'))

    def add_recipient(self, now: float, balancer: SocketAddress) -> None:
        """Take note that a balancer sent a new flow."""
        self._recipients[balancer] = now

    def report_change(self, now: float) -> None:
        """Tell of the load if it changed, within a rate."""
        gap_s = max(
            MIN_REPORT_INTERVAL_S,
            len(self._recipients) / MAX_REPORTS_PER_S,
        )
        if now - self._reported_at < gap_s or not self._recipients:
            return
        load = self.load(now)
        level = (int(load.state), load.busy, load.waiting)
        if level == self._reported:
            return
        self._reported = level
        self._reported_at = now
        report = FlowReply(NO_FLOW, FlowStatus.LOAD, load).encode()
        for balancer in self._recipients:
            self.send(report, balancer)

    def sweep(self, now: float) -> None:
        """Forget balancers that place nothing here any more."""
        for balancer, since in tuple(self._recipients.items()):
            if now - since > RECIPIENT_LIFETIME_S:
                self._recipients.pop(balancer)
