"""The running cluster on which the steps of a scenario act."""

import asyncio
import time
from collections.abc import Coroutine

from attrs import Factory, define, frozen

from bench.scenarios.file import Scenario, StepPlan
from bench.scenarios.status import read_status
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.models.documents import service_key
from tests.lib.cluster import Balancer, Cluster, Instance

POLL_INTERVAL_SECONDS = 0.05
ROLLOUT_TIMEOUT_SECONDS = 10.0


@frozen
class Leaving:
    """An instance that starts leaving at ``since`` (Unix seconds)."""

    instance: str
    since: float


@define(eq=False)
class RunContext:
    """The running cluster and a record of the changes that steps make to it.

    ``touched`` maps the name of each instance that a step changed to the
    Unix time of the first change. Comparisons between instances exclude
    these. ``force_seconds`` holds the rollout times of new versions, and
    ``never_in_force`` counts the rollouts that timed out.
    """

    scenario: Scenario
    cluster: Cluster
    started_at: float = Factory(time.monotonic)
    touched: dict[str, float] = Factory(dict)
    leavings: list[Leaving] = Factory(list)
    force_seconds: list[float] = Factory(list)
    never_in_force: int = 0
    frozen_balancers: list[Balancer] = Factory(list)
    frozen_sidecars: list[Instance] = Factory(list)
    _tasks: set[asyncio.Task[None]] = Factory(set)

    def print_progress(self, text: str) -> None:
        """Print a line of progress with the elapsed seconds."""
        seconds = time.monotonic() - self.started_at
        print(f'  [{seconds:5.1f} s] {text}', flush=True)

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Start a task; ``wait_for_background`` waits for its end."""
        self._tasks.add(asyncio.create_task(work))

    async def wait_for_background(self, timeout: float) -> list[str]:
        """Wait for background tasks and describe those that failed.

        Tasks that are unfinished after ``timeout`` seconds are cancelled and
        count as failed.
        """
        deadline = time.monotonic() + timeout
        pending = self._pending_tasks()
        # Steps may start further tasks during this wait.
        while pending and time.monotonic() < deadline:
            remaining = max(0, deadline - time.monotonic())
            await asyncio.wait(pending, timeout=remaining)
            pending = self._pending_tasks()
        for task in pending:
            task.cancel()
        problems = [f'unfinished: {each.get_coro()}' for each in pending]
        ends = [each.exception() for each in self._tasks if _has_ended(each)]
        problems.extend(repr(exc) for exc in ends if exc is not None)
        return problems

    def instance(self, step: StepPlan) -> Instance:
        """Return the instance that a step refers to.

        Without a service the step refers to the first one. Endpoint numbers
        wrap around.
        """
        service = step.service or self.scenario.service[0].name
        found = self.cluster.instances_of(service)
        return found[step.endpoint % len(found)]

    def mark_touched(self, instance: Instance) -> None:
        """Record that a step changed an instance."""
        self.touched.setdefault(instance.name, time.time())

    def record_leaving(self, instance: Instance) -> None:
        """Record that an instance starts leaving now."""
        self.mark_touched(instance)
        self.leavings.append(Leaving(instance.name, time.time()))

    def readers(self, service: str) -> list[Address]:
        """Return the running daemons that read a service's document."""
        sidecars = [
            each.endpoint.address
            for each in self.cluster.instances_of(service)
            if each.sidecar.running and each not in self.frozen_sidecars
        ]
        return [*(each.address for each in self.cluster.balancers), *sidecars]

    async def measure_rollout(self, service: str) -> None:
        """Record the seconds until all daemons use the newest version.

        Counts the version as never in force after ``ROLLOUT_TIMEOUT_SECONDS``.
        """
        rollout_started = time.monotonic()
        version = self.cluster.register.documents[service].version
        outdated = self.readers(service)
        key = service_key(service)
        while (
            outdated
            and time.monotonic() - rollout_started < ROLLOUT_TIMEOUT_SECONDS
        ):
            outdated = [
                each
                for each in outdated
                if each in self.readers(service)
                and await self._active_version(each, key) < version
            ]
            if outdated:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        if outdated:
            self.never_in_force += 1
            return
        self.force_seconds.append(time.monotonic() - rollout_started)

    def _pending_tasks(self) -> set[asyncio.Task[None]]:
        return {each for each in self._tasks if not each.done()}

    async def _active_version(self, daemon: Address, key: str) -> int:
        report = await read_status(daemon, self.cluster.plan.fleet_keys)
        return report.version.get(key, 0) if report else 0


def _has_ended(task: asyncio.Task[None]) -> bool:
    return task.done() and not task.cancelled()
