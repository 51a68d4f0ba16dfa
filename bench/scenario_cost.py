"""What the daemons of a cluster cost, at rest and under load."""

import os
import time
from collections.abc import Iterable

from attrs import Factory, define, frozen

from bench.process_cost import ProcessCost
from bench.scenario_figures import RoleCost
from bench.scenario_status import read_status
from dragonflyshift._internal.models import Address
from tests.lib.cluster import Cluster
from tests.lib.processes import Program

BALANCER = 'balancer'
SIDECAR = 'sidecar'
CONTROL_BYTES = 'dragonflyshift.sidecar.control-bytes'


@frozen
class Reading:
    """Processor seconds and control bytes of one process until now."""

    role: str
    cpu_seconds: float
    control_bytes: float = 0


@define
class Sample:
    """All daemons at one time; their keys are process ids."""

    at: float = Factory(time.monotonic)
    readings: dict[int, Reading] = Factory(dict)
    own_seconds: float = Factory(time.process_time)

    @classmethod
    async def take(cls, cluster: Cluster) -> 'Sample':
        """Read all daemons that run."""
        sample = cls()
        for each in cluster.balancers:
            await sample._read(BALANCER, each.program)
        keys = cluster.plan.fleet_keys
        for instance in cluster.instances:
            address = instance.endpoint.address
            await sample._read(SIDECAR, instance.sidecar, address, keys)
        return sample

    async def _read(
        self,
        role: str,
        program: Program,
        address: Address | None = None,
        keys: str = '',
    ) -> None:
        if not program.running:
            return
        pid = program.child.pid
        cost = ProcessCost.read(pid)
        counted = float(0)
        if address is not None:
            report = await read_status(address, keys)
            if report is None:
                return
            counted = report.counters.get(CONTROL_BYTES, 0)
        self.readings[pid] = Reading(role, cost.cpu_seconds, counted)


@frozen
class Rate:
    """Share of a core and control bytes a second of one process."""

    share: float
    control: float


def role_costs(
    before: Sample,
    rested: Sample,
    after: Sample,
) -> dict[str, RoleCost]:
    """Return what each role cost between the samples."""
    costs = {}
    for role in (BALANCER, SIDECAR):
        pids = [
            pid
            for pid, reading in after.readings.items()
            if reading.role == role
            and pid in rested.readings
            and pid in before.readings
        ]
        if pids:
            rest = [_rate(before, rested, pid) for pid in pids]
            load = [_rate(rested, after, pid) for pid in pids]
            costs[role] = _summarize(rest, load)
    return costs


def own_share(rested: Sample, after: Sample) -> float:
    """Return the share of a core that the clients' process took."""
    seconds = after.own_seconds - rested.own_seconds
    return seconds / (after.at - rested.at)


def load_average() -> float:
    """Return the machine's load average over a minute."""
    return os.getloadavg()[0]


def _rate(first: Sample, second: Sample, pid: int) -> Rate:
    seconds = second.at - first.at
    early = first.readings[pid]
    late = second.readings[pid]
    return Rate(
        (late.cpu_seconds - early.cpu_seconds) / seconds,
        (late.control_bytes - early.control_bytes) / seconds,
    )


def _summarize(rest: list[Rate], load: list[Rate]) -> RoleCost:
    return RoleCost(
        daemons=len(load),
        rest_mean=_mean(each.share for each in rest),
        rest_max=max(each.share for each in rest),
        load_mean=_mean(each.share for each in load),
        load_max=max(each.share for each in load),
        control_rest_mean=_mean(each.control for each in rest),
        control_load_mean=_mean(each.control for each in load),
        control_load_max=max(each.control for each in load),
    )


def _mean(numbers: Iterable[float]) -> float:
    known = tuple(numbers)
    return sum(known) / len(known)
