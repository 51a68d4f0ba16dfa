"""Selects the backend server for a new flow.

Servers have few slots at 50 to 70 % utilization, some are slow or have just
started, and up to a third of them may fail at once. Placement by hash alone
builds queues at some servers while others are idle. Placement by the last
reported load sends many flows at once to the server that was reported idle.
Therefore placement estimates the time to the response from the last report
and from the flows that this balancer has sent since.
"""

__all__ = (
    'FastestEstimate',
    'FlowPlacement',
    'LocalityPenalty',
    'PlacementOption',
)

import random
from abc import abstractmethod
from collections.abc import Sequence

from attrs import define, frozen

from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.kernel.registry import Plugin

# Assumed service time of a server without a report: that of a short request.
DEFAULT_SERVICE_MS = 60.0
# Share of a service time that each open flow without a request is expected to
# add.
OPEN_FLOW_WEIGHT = 0.05
# Orders a suspect sidecar after all others, so that it is used only if no
# other one is left.
SUSPECT_PENALTY_MS = 10_000.0
# Added for a suspicious server: a sound one is preferred up to a queue as long
# as the latency target of short requests.
SUSPICIOUS_PENALTY_MS = 250.0
# Estimates that differ by less are ordered at random, because measurements
# vary by as much.
JITTER_MS = 4.0
# Service times are longer by this factor while a server warms up.
COLD_FACTOR = 1.6


@frozen(repr=False)
class LocalityPenalty:
    """The penalties, in ms, for another data centre or another region.

    A penalty covers the network latency and the price of the transferred
    bytes, expressed as the wait that a user would accept instead.
    """

    data_center_ms: float
    region_ms: float


@define(repr=False)
class PlacementOption:
    """An endpoint and the balancer's information on its state.

    ``sidecar`` is the address of its sidecar, ``load`` the last report of that
    sidecar or None, ``age_ms`` the age of the report and ``sent_since`` the
    number of flows sent there after it. ``is_local`` means the balancer's own
    data centre. ``is_suspect`` is set if the sidecar has recently not replied,
    ``is_cold`` while the server warms up, and ``is_suspicious`` if its service
    time is an outlier. The estimate takes ``least_service_ms`` if the reported
    service time is below it.
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
    def is_likely_idle(self) -> bool:
        """Whether a new flow is expected to find a free slot."""
        if self.is_suspect or self.is_suspicious:
            return False
        return _requests_ahead(self) <= 0


class FlowPlacement(Plugin, kind='flow-placement'):
    """Orders the endpoints that may accept a new flow."""

    @abstractmethod
    def order(
        self,
        options: Sequence[PlacementOption],
        penalty: LocalityPenalty,
        rng: random.Random,
    ) -> list[PlacementOption]:
        """Return the endpoints to offer a flow to, best first.

        Endpoints that are leaving, down or full are omitted.
        """


class FastestEstimate(FlowPlacement, name='fastest-estimate'):
    """Prefers the shortest estimated time to the response.

    The estimate includes the penalty for another data centre. It doesn't use
    ``region_ms``.
    """

    def order(
        self,
        options: Sequence[PlacementOption],
        penalty: LocalityPenalty,
        rng: random.Random,
    ) -> list[PlacementOption]:
        """Return the endpoints to offer a flow to, best first."""
        rated = [
            (self._estimate(option, penalty) + rng.random() * JITTER_MS, index)
            for index, option in enumerate(options)
            if _accepts_new_flows(option)
        ]
        rated.sort()
        return [options[index] for _estimate, index in rated]

    def _estimate(
        self, option: PlacementOption, penalty: LocalityPenalty
    ) -> float:
        estimate = _time_to_response(option)
        if not option.is_local:
            estimate += penalty.data_center_ms
        if option.is_suspect:
            estimate += SUSPECT_PENALTY_MS
        if option.is_suspicious:
            estimate += SUSPICIOUS_PENALTY_MS
        return estimate


def _accepts_new_flows(option: PlacementOption) -> bool:
    if option.record.is_leaving:
        return False
    load = option.load
    return load is None or load.state is BackendState.SERVING


def _requests_ahead(option: PlacementOption) -> float:
    """Estimate how many requests must end before a new one starts.

    A slot is free if the result is zero or less.
    """
    load = option.load
    slots = max(1, option.record.slots)
    if load is None:
        return option.sent_since + 1 - slots
    # Requests that were running may have ended since the report.
    ended = option.age_ms * slots / _service_ms(option)
    unfinished = max(0, load.busy + load.waiting - ended)
    return unfinished + option.sent_since + 1 - slots


def _service_ms(option: PlacementOption) -> float:
    if option.load is None:
        return DEFAULT_SERVICE_MS
    return max(option.load.service_ms, option.least_service_ms)


def _time_to_response(option: PlacementOption) -> float:
    load = option.load
    slots = max(1, option.record.slots)
    service_ms = _service_ms(option)
    if option.is_cold:
        service_ms *= COLD_FACTOR
    flows = option.sent_since
    if load is not None:
        flows += load.open_flows
    wait_ms = max(0, _requests_ahead(option)) * service_ms / slots
    return wait_ms + service_ms * (1 + OPEN_FLOW_WEIGHT * flows / slots)
