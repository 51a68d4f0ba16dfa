"""Measures the resource usage of daemons, idle and under load."""

import os
import time
from collections.abc import Iterable

from attrs import Factory, define, frozen

from bench.process_cost import ProcessCost
from bench.scenarios.figures import RoleCost
from bench.scenarios.status import read_status
from dragonflyshift._internal.models import Address
from tests.lib.cluster import Cluster
from tests.lib.processes import Program

BALANCER = 'balancer'
SIDECAR = 'sidecar'
CONTROL_BYTES = 'dragonflyshift.sidecar.control-bytes'


@frozen
class ProcessReading:
    """Processor seconds and control bytes that one process has used."""

    role: str
    cpu_seconds: float
    control_bytes: float = 0


@define
class Sample:
    """Readings of all daemons at one time, by process ID.

    ``client_cpu_seconds`` is the processor time of this process, which
    runs the clients.
    """

    at: float = Factory(time.monotonic)
    readings: dict[int, ProcessReading] = Factory(dict)
    client_cpu_seconds: float = Factory(time.process_time)

    @classmethod
    async def take(cls, cluster: Cluster) -> 'Sample':
        """Read all running daemons.

        Sidecars that do not answer a status request are omitted.
        """
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
        control_bytes = float(0)
        if address is not None:
            report = await read_status(address, keys)
            if report is None:
                return
            control_bytes = report.counters.get(CONTROL_BYTES, 0)
        self.readings[pid] = ProcessReading(
            role, cost.cpu_seconds, control_bytes
        )


@frozen
class UsageRate:
    """Share of a core and control bytes per second of one process."""

    cpu_share: float
    control_bytes: float


def role_costs(
    before: Sample,
    after_idle: Sample,
    after: Sample,
) -> dict[str, RoleCost]:
    """Return the usage of each role while idle and under load.

    Includes only daemons that are present in all three samples.
    """
    costs = {}
    for role in (BALANCER, SIDECAR):
        pids = [
            pid
            for pid, reading in after.readings.items()
            if reading.role == role
            and pid in after_idle.readings
            and pid in before.readings
        ]
        if pids:
            rest = [_usage_rate(before, after_idle, pid) for pid in pids]
            load = [_usage_rate(after_idle, after, pid) for pid in pids]
            costs[role] = _summarize(rest, load)
    return costs


def client_cpu_share(after_idle: Sample, after: Sample) -> float:
    """Return the share of a core that the clients' process used."""
    seconds = after.client_cpu_seconds - after_idle.client_cpu_seconds
    return seconds / (after.at - after_idle.at)


def load_average() -> float:
    """Return the one-minute load average of the machine."""
    return os.getloadavg()[0]


def _usage_rate(first: Sample, second: Sample, pid: int) -> UsageRate:
    seconds = second.at - first.at
    first_reading = first.readings[pid]
    second_reading = second.readings[pid]
    return UsageRate(
        (second_reading.cpu_seconds - first_reading.cpu_seconds) / seconds,
        (second_reading.control_bytes - first_reading.control_bytes) / seconds,
    )


def _summarize(rest: list[UsageRate], load: list[UsageRate]) -> RoleCost:
    return RoleCost(
        daemons=len(load),
        rest_mean=_mean(each.cpu_share for each in rest),
        rest_max=max(each.cpu_share for each in rest),
        load_mean=_mean(each.cpu_share for each in load),
        load_max=max(each.cpu_share for each in load),
        control_rest_mean=_mean(each.control_bytes for each in rest),
        control_load_mean=_mean(each.control_bytes for each in load),
        control_load_max=max(each.control_bytes for each in load),
    )


def _mean(numbers: Iterable[float]) -> float:
    known = tuple(numbers)
    return sum(known) / len(known)
