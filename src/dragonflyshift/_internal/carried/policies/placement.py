"""Where a balancer places a new carried flow.

The load pattern: few slots a server, used to 50 to 70 %, with servers that
turn slow, start cold, or vanish by the third. A choice by hash alone queues
at some servers while others idle; a choice by stale load sends a crowd to
the one that looked free. So the choice follows the estimated time to the
answer, corrected by what the balancer itself has sent since the last report.
"""

__all__ = (
    'CrossingCost',
    'FastestEstimate',
    'FlowPlacement',
    'PlacementOption',
)

import random
from abc import abstractmethod
from collections.abc import Sequence

from attrs import define, frozen

from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.kernel.registry import Plugin

# An estimate before the first report: the time of a short request.
UNKNOWN_SERVICE_MS = 60.0
# Share of a request's time that an idle open flow is expected to cost.
OPEN_FLOW_WEIGHT = 0.05
# What a suspect sidecar is behind all others by; it is still a last resort.
SUSPECT_PENALTY_MS = 10_000.0
# Estimates that differ by less are equal: measurements vary by as much.
JITTER_MS = 4.0
# Work that a server has beyond its warm-up is this much slower.
COLD_FACTOR = 1.6


@frozen(repr=False)
class CrossingCost:
    """What sending a flow to another data centre or region costs, in ms.

    That is the way itself and the price of the bytes, as the wait that a
    user would accept instead.
    """

    data_center_ms: float
    region_ms: float


@define(repr=False)
class PlacementOption:
    """An endpoint with what a balancer believes of it.

    ``age_ms`` is the age of the report, ``sent_since`` counts the flows sent
    there after it, ``is_cold`` tells that the server has just started.
    """

    record: EndpointRecord
    load: LoadReport | None
    age_ms: float
    sent_since: int
    is_local: bool
    is_suspect: bool
    is_cold: bool

    @property
    def is_believed_idle(self) -> bool:
        """Whether a new flow should find a free slot."""
        return not self.is_suspect and _excess(self) <= 0


class FlowPlacement(Plugin, kind='flow-placement'):
    """Order the endpoints that may take a new flow."""

    @abstractmethod
    def order(
        self,
        options: Sequence[PlacementOption],
        cost: CrossingCost,
        rng: random.Random,
    ) -> list[PlacementOption]:
        """Return the options worth asking, best first.

        Endpoints that leave or are down are left out.
        """


class FastestEstimate(FlowPlacement, name='fastest-estimate'):
    """Least estimated time to the answer, crossing included."""

    def order(
        self,
        options: Sequence[PlacementOption],
        cost: CrossingCost,
        rng: random.Random,
    ) -> list[PlacementOption]:
        """Return the options worth asking, best first."""
        rated = [
            (self._estimate(option, cost) + rng.random() * JITTER_MS, index)
            for index, option in enumerate(options)
            if _takes_flows(option)
        ]
        rated.sort()
        return [options[index] for _estimate, index in rated]

    def _estimate(self, option: PlacementOption, cost: CrossingCost) -> float:
        estimate = _time_to_answer(option)
        if not option.is_local:
            estimate += cost.data_center_ms
        if option.is_suspect:
            estimate += SUSPECT_PENALTY_MS
        return estimate


def _takes_flows(option: PlacementOption) -> bool:
    if option.record.is_leaving:
        return False
    load = option.load
    return load is None or load.state is BackendState.SERVING


def _excess(option: PlacementOption) -> float:
    """Estimate how many requests one more would wait for."""
    load = option.load
    slots = max(1, option.record.slots)
    if load is None:
        return option.sent_since + 1 - slots
    # Requests that were under way may have ended since the report.
    ended = option.age_ms * slots / load.service_ms
    left = max(0, load.busy + load.waiting - ended)
    return left + option.sent_since + 1 - slots


def _time_to_answer(option: PlacementOption) -> float:
    load = option.load
    slots = max(1, option.record.slots)
    service_ms = UNKNOWN_SERVICE_MS if load is None else load.service_ms
    if option.is_cold:
        service_ms *= COLD_FACTOR
    flows = option.sent_since
    if load is not None:
        flows += load.open_flows
    wait_ms = max(0, _excess(option)) * service_ms / slots
    return wait_ms + service_ms * (1 + OPEN_FLOW_WEIGHT * flows / slots)
