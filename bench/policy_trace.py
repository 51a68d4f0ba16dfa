"""Arrivals for the policy load: flows, their requests and their lengths.

The trace depends on the workload and its seed only, so that every set of
policies and the common queue are fed the same requests.
"""

import math
import random
from itertools import accumulate

from attrs import frozen

DATA_CENTERS = ('adama', 'bishoftu', 'batu')
REGION = 'oromia'

HOLD_SHAPE = 1.5
HOLD_RANGE = 150
FLOW_RATE_SHAPE = 1.2
FLOW_RATE_RANGE = 200


@frozen
class Workload:
    """What arrives: ``load`` is the share of all slots that it asks for.

    Times are seconds. ``mean_hold`` is the mean time that a request holds
    its slot, ``flow_lifetime`` the mean time until a flow is replaced by a
    new one, ``timeouts`` the times, equally frequent, after which a client
    gives up a request that has not started.
    """

    slots: int
    load: float
    seed: int
    endpoints: int = 7
    seconds: float = 180
    flows: int = 280
    mean_hold: float = 0.2
    flow_lifetime: float = 60
    timeouts: tuple[float, ...] = (5,)

    @property
    def request_rate(self) -> float:
        """Requests a second."""
        return self.load * self.endpoints * self.slots / self.mean_hold


@frozen
class Arrival:
    """One request: its time, flow, client's place and time on the slot.

    ``deadline`` is when the client gives it up if it has not started.
    """

    time: float
    flow: int
    data_center: str
    hold: float
    deadline: float


def bounded_pareto(rng: random.Random, shape: float, spread: float) -> float:
    """Draw from a Pareto distribution between 1 and ``spread``."""
    tail = 1 - math.pow(spread, -shape)
    return math.pow(1 - rng.random() * tail, -1 / shape)


def bounded_pareto_mean(shape: float, spread: float) -> float:
    """Return the mean of ``bounded_pareto``."""
    tail = 1 - math.pow(spread, -shape)
    return shape / (shape - 1) * (1 - math.pow(spread, 1 - shape)) / tail


def build_trace(workload: Workload) -> tuple[Arrival, ...]:
    """Draw the arrivals of a workload in order of time."""
    rng = random.Random(workload.seed)
    flows = _FlowTable(workload, rng)
    scale = workload.mean_hold / bounded_pareto_mean(HOLD_SHAPE, HOLD_RANGE)
    now: float = 0
    arrivals = []
    while now < workload.seconds:
        now += rng.expovariate(workload.request_rate)
        flow, data_center = flows.pick(now)
        hold = scale * bounded_pareto(rng, HOLD_SHAPE, HOLD_RANGE)
        deadline = now + rng.choice(workload.timeouts)
        arrivals.append(Arrival(now, flow, data_center, hold, deadline))
    return tuple(arrivals)


class _FlowTable:
    """The open flows, each with its own share of the requests."""

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._rng = rng
        self._count = workload.flows
        self._churn = workload.flows / workload.flow_lifetime
        self._flows = [self._open(number) for number in range(self._count)]
        self._opened = self._count
        self._cumulative = tuple(
            accumulate(
                bounded_pareto(rng, FLOW_RATE_SHAPE, FLOW_RATE_RANGE)
                for _ in range(self._count)
            ),
        )
        self._next_change = rng.expovariate(self._churn)

    def pick(self, now: float) -> tuple[int, str]:
        """Return the flow of the next request and its client's place."""
        while self._next_change <= now:
            index = self._rng.randrange(self._count)
            self._flows[index] = self._open(self._opened)
            self._opened += 1
            self._next_change += self._rng.expovariate(self._churn)
        return self._rng.choices(
            self._flows,
            cum_weights=self._cumulative,
        )[0]

    def _open(self, number: int) -> tuple[int, str]:
        return (number, self._rng.choice(DATA_CENTERS))
