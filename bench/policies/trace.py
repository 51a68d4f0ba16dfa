"""Generates arrivals: flows, their requests and their service times.

A trace depends only on the workload and its seed, so that all sets of
policies and the common queue receive the same requests.
"""

import math
import random
from itertools import accumulate

from attrs import frozen

DATA_CENTERS = ('adama', 'bishoftu', 'batu')
REGION = 'oromia'

SERVICE_TIME_SHAPE = 1.5
SERVICE_TIME_RANGE = 150
FLOW_RATE_SHAPE = 1.2
FLOW_RATE_RANGE = 200


@frozen
class Workload:
    """Parameters of a trace.

    ``load`` is the requested share of the capacity of all slots.

    Times are in seconds. ``mean_service_time`` is the mean time that a
    request occupies its slot, ``flow_lifetime`` the mean time until a new
    flow replaces a flow. ``timeouts`` are the equally frequent times after
    which a client abandons a request that has not started.
    """

    slots: int
    load: float
    seed: int
    endpoints: int = 7
    seconds: float = 180
    flows: int = 280
    mean_service_time: float = 0.2
    flow_lifetime: float = 60
    timeouts: tuple[float, ...] = (5,)

    @property
    def request_rate(self) -> float:
        """Requests per second."""
        return self.load * self.endpoints * self.slots / self.mean_service_time


@frozen
class Arrival:
    """A request: arrival time, flow, client's data centre, service time.

    At ``deadline`` the client abandons the request if it has not started.
    """

    time: float
    flow: int
    data_center: str
    service_time: float
    deadline: float


def bounded_pareto(rng: random.Random, shape: float, maximum: float) -> float:
    """Draw from a Pareto distribution between 1 and ``maximum``."""
    truncated_mass = 1 - math.pow(maximum, -shape)
    return math.pow(1 - rng.random() * truncated_mass, -1 / shape)


def bounded_pareto_mean(shape: float, maximum: float) -> float:
    """Return the mean of ``bounded_pareto``."""
    truncated_mass = 1 - math.pow(maximum, -shape)
    return (
        shape
        / (shape - 1)
        * (1 - math.pow(maximum, 1 - shape))
        / truncated_mass
    )


def build_trace(workload: Workload) -> tuple[Arrival, ...]:
    """Generate the arrivals of a workload in order of time."""
    rng = random.Random(workload.seed)
    flows = _FlowTable(workload, rng)
    scale = workload.mean_service_time / bounded_pareto_mean(
        SERVICE_TIME_SHAPE, SERVICE_TIME_RANGE
    )
    now: float = 0
    arrivals = []
    while now < workload.seconds:
        now += rng.expovariate(workload.request_rate)
        flow, data_center = flows.pick(now)
        service_time = scale * bounded_pareto(
            rng, SERVICE_TIME_SHAPE, SERVICE_TIME_RANGE
        )
        deadline = now + rng.choice(workload.timeouts)
        arrivals.append(Arrival(now, flow, data_center, service_time, deadline))
    return tuple(arrivals)


class _FlowTable:
    """The current flows, each with its own share of the requests."""

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._rng = rng
        self._count = workload.flows
        self._replacement_rate = workload.flows / workload.flow_lifetime
        self._flows = [
            self._create_flow(number) for number in range(self._count)
        ]
        self._created = self._count
        self._cumulative = tuple(
            accumulate(
                bounded_pareto(rng, FLOW_RATE_SHAPE, FLOW_RATE_RANGE)
                for _ in range(self._count)
            ),
        )
        self._next_change = rng.expovariate(self._replacement_rate)

    def pick(self, now: float) -> tuple[int, str]:
        """Return the next request's flow and its client's data centre."""
        while self._next_change <= now:
            index = self._rng.randrange(self._count)
            self._flows[index] = self._create_flow(self._created)
            self._created += 1
            self._next_change += self._rng.expovariate(self._replacement_rate)
        return self._rng.choices(
            self._flows,
            cum_weights=self._cumulative,
        )[0]

    def _create_flow(self, number: int) -> tuple[int, str]:
        return (number, self._rng.choice(DATA_CENTERS))
