"""Reports of balancers between the sidecars of a service.

A sidecar knows the balancers from which it has received datagrams. One with
few flows may know a single balancer. If that one fails after the client's last
packet was acknowledged, the client has nothing to send, so no other balancer
delivers anything, and the response can't be returned. Therefore sidecars report
to each other the balancers that they have seen.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.recovery import BalancerDirectory
from dragonflyshift._internal.wire import DatagramKind
from dragonflyshift._internal.wire.balancer_report import (
    MAX_REPORTED_BALANCERS,
    BalancerReport,
    ReportedBalancer,
)

PERIOD_S = 0.5
MS_PER_S = 1000


class BalancerReports:
    """Sends the balancers seen last to one peer a period.

    ``peers`` returns the other sidecars of the service. ``send`` must neither
    block nor raise.
    """

    def __init__(
        self,
        directory: BalancerDirectory,
        peers: Callable[[], Sequence[Address]],
        send: Callable[[Address, DatagramKind, bytes], None],
        rng: random.Random,
    ) -> None:
        """Report from ``directory``, and add to it what peers report."""
        self._directory = directory
        self._peers = peers
        self._send = send
        self._rng = rng

    async def run(self) -> None:
        """Send reports until the task is cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.send_report(time.monotonic())

    def send_report(self, now: float) -> None:
        """Report to a random peer unless no balancer was seen recently."""
        peers = self._peers()
        balancers = tuple(
            ReportedBalancer(each.address, int((now - each.at) * MS_PER_S))
            for each in self._directory.received(now)[:MAX_REPORTED_BALANCERS]
        )
        if peers and balancers:
            body = BalancerReport(balancers).encode()
            self._send(self._rng.choice(peers), DatagramKind.BALANCERS, body)

    def receive(self, body: bytes, now: float) -> None:
        """Add the balancers that a peer reports.

        Raises WireError if the report is malformed.
        """
        for each in BalancerReport.decode(body).balancers:
            seen_at = now - each.age_ms / MS_PER_S
            self._directory.record_report(each.address, seen_at)
