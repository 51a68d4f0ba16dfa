"""Selects the backend server for a new flow.

Servers have few slots at 50 to 70 % utilization, some are slow or have just
started, and up to a third of them may fail at once. Placement by hash alone
builds queues at some servers while others are idle. Placement by the last
reported load sends many flows at once to the server that was reported idle.
Therefore placement counts the requests of the last report that are unfinished
and the flows that this balancer has sent since. Service times vary by half of
their mean, so only those of clear outliers count.
"""

__all__ = (
    'FlowPlacement',
    'LeastRequests',
    'PlacementOption',
)

import random
from abc import abstractmethod
from collections.abc import Sequence

from attrs import define

from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.kernel.registry import Plugin

# Requests that each open flow without a request is expected to add.
OPEN_FLOW_WEIGHT = 0.02
# Added for a suspicious server: a sound one is preferred up to a queue of this
# many requests for each slot.
SUSPICIOUS_REQUESTS = 10.0
# Servers whose loads differ by less are ordered at random.
JITTER_REQUESTS = 0.1
# A server is slow if its service time exceeds the median by this factor. The
# smoothed mean of a sound one varies by about a tenth.
SLOW_FACTOR = 1.5
# Service times are longer by this factor while a server warms up.
COLD_FACTOR = 1.6


@define(repr=False)
class PlacementOption:
    """An endpoint and the balancer's information on its state.

    ``sidecar`` is the address of its sidecar, ``load`` the last report of that
    sidecar or None, ``age_ms`` the age of the report and ``sent_since`` the
    number of flows sent there after it. ``is_local`` means the balancer's own
    data centre. ``is_suspect`` is set if the sidecar has recently not replied,
    ``is_cold`` while the server warms up, and ``is_suspicious`` if its service
    time is an outlier. ``least_service_ms`` replaces a shorter service time in
    the report.
    """

    record: EndpointRecord
    load: LoadReport | None
    age_ms: float
    sent_since: int
    is_local: bool
    is_suspect: bool
    is_cold: bool
    is_suspicious: bool = False
    least_service_ms: float = 0
    sidecar: SocketAddress = ('', 0)

    @property
    def service_ms(self) -> float:
        """The service time in the report, 0 without one."""
        if self.load is None:
            return 0
        return max(self.load.service_ms, self.least_service_ms)

    @property
    def unfinished(self) -> float:
        """How many requests are expected at the server now.

        Requests that were running may have ended since the report.
        """
        if self.load is None:
            return self.sent_since
        ended = self.age_ms * max(1, self.record.slots) / self.service_ms
        reported = self.load.busy + self.load.waiting
        return max(0, reported - ended) + self.sent_since

    @property
    def is_likely_idle(self) -> bool:
        """Whether a new flow is expected to find a free slot."""
        if self.is_suspect or self.is_suspicious:
            return False
        return self.unfinished + 1 <= max(1, self.record.slots)


class FlowPlacement(Plugin, kind='flow-placement'):
    """Orders the endpoints that may accept a new flow."""

    @abstractmethod
    def order(
        self,
        options: Sequence[PlacementOption],
        remote_requests: float,
        rng: random.Random,
    ) -> list[PlacementOption]:
        """Return the endpoints to offer a flow to, best first.

        ``remote_requests`` is how many requests for each slot a server of
        another data centre must be ahead of a local one to precede it.
        Endpoints that are leaving, down or full are omitted.
        """


class LeastRequests(FlowPlacement, name='least-requests'):
    """Prefers the servers with the fewest requests for each slot.

    A request at a slow or cold server counts by how much longer it takes than
    at the other servers.
    """

    def order(
        self,
        options: Sequence[PlacementOption],
        remote_requests: float,
        rng: random.Random,
    ) -> list[PlacementOption]:
        """Return the endpoints to offer a flow to, best first."""
        usual_ms = _usual_service_ms(options)
        rated = []
        for index, option in enumerate(options):
            if not _accepts_new_flows(option):
                continue
            rating = _rate(option, usual_ms) + rng.random() * JITTER_REQUESTS
            if not option.is_local:
                rating += remote_requests
            rated.append((option.is_suspect, rating, index))
        rated.sort()
        return [options[position] for _suspect, _rating, position in rated]


def _accepts_new_flows(option: PlacementOption) -> bool:
    if option.record.is_leaving:
        return False
    load = option.load
    return load is None or load.state is BackendState.SERVING


def _usual_service_ms(options: Sequence[PlacementOption]) -> float:
    """Return the lower median of the service times, 0 without a report.

    Suspicious servers answer too early or report the cost of failures.
    """
    reported = sorted(
        option.service_ms
        for option in options
        if option.load is not None and not option.is_suspicious
    )
    return reported[(len(reported) - 1) // 2] if reported else 0


def _rate(option: PlacementOption, usual_ms: float) -> float:
    """Return the requests that a new flow adds to and waits for.

    They are counted for each slot and in requests of a usual server.
    """
    slots = max(1, option.record.slots)
    requests = option.unfinished / slots
    slowness = 1.0
    if option.load is not None:
        requests += OPEN_FLOW_WEIGHT * option.load.open_flows / slots
        if 0 < usual_ms * SLOW_FACTOR < option.service_ms:
            slowness = option.service_ms / usual_ms
    if option.is_cold:
        slowness *= COLD_FACTOR
    rating = (requests + 1) * slowness - 1
    return rating + SUSPICIOUS_REQUESTS * option.is_suspicious
