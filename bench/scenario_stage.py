"""What the steps of a scenario act on."""

import asyncio
import time
from collections.abc import Coroutine

from attrs import Factory, define, frozen

from bench.scenario_file import Scenario, StepPlan
from bench.scenario_status import read_status
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.models.documents import service_key
from tests.lib.cluster import Balancer, Cluster, Instance

POLL_SECONDS = 0.05
FORCE_TIMEOUT_SECONDS = 10.0


@frozen
class Leaving:
    """An instance that was told to leave, in Unix seconds."""

    instance: str
    since: float


@define(eq=False)
class Stage:
    """The running cluster, and what the steps did to it.

    ``touched`` names instances that a step changed, each with the time;
    they are left out of what is compared between instances.
    """

    scenario: Scenario
    cluster: Cluster
    began: float = Factory(time.monotonic)
    touched: dict[str, float] = Factory(dict)
    leavings: list[Leaving] = Factory(list)
    force_seconds: list[float] = Factory(list)
    never_in_force: int = 0
    frozen_balancers: list[Balancer] = Factory(list)
    frozen_sidecars: list[Instance] = Factory(list)
    _tasks: set[asyncio.Task[None]] = Factory(set)

    def say(self, text: str) -> None:
        """Print a line of progress."""
        seconds = time.monotonic() - self.began
        print(f'  [{seconds:5.1f} s] {text}', flush=True)

    def background(self, work: Coroutine[None, None, None]) -> None:
        """Do something beside the steps; ``settle`` waits for it."""
        self._tasks.add(asyncio.create_task(work))

    async def settle(self, timeout: float) -> list[str]:
        """Wait for background work and return what went wrong."""
        deadline = time.monotonic() + timeout
        pending = self._pending()
        # Steps may start further work while this waits.
        while pending and time.monotonic() < deadline:
            remaining = max(0, deadline - time.monotonic())
            await asyncio.wait(pending, timeout=remaining)
            pending = self._pending()
        for task in pending:
            task.cancel()
        problems = [f'unfinished: {each.get_coro()}' for each in pending]
        ends = [each.exception() for each in self._tasks if _has_ended(each)]
        problems.extend(repr(exc) for exc in ends if exc is not None)
        return problems

    def instance(self, step: StepPlan) -> Instance:
        """Return the instance that a step names."""
        service = step.service or self.scenario.service[0].name
        found = self.cluster.instances_of(service)
        return found[step.endpoint % len(found)]

    def touch(self, instance: Instance) -> None:
        """Take note that a step changed an instance."""
        self.touched.setdefault(instance.name, time.time())

    def leave(self, instance: Instance) -> None:
        """Take note that an instance is told to leave."""
        self.touch(instance)
        self.leavings.append(Leaving(instance.name, time.time()))

    def readers(self, service: str) -> list[Address]:
        """Return the daemons that read a service's document and run."""
        sidecars = [
            each.endpoint.address
            for each in self.cluster.instances_of(service)
            if each.sidecar.running and each not in self.frozen_sidecars
        ]
        return [*(each.address for each in self.cluster.balancers), *sidecars]

    async def watch_version(self, service: str) -> None:
        """Measure when the newest version is in force on all daemons."""
        began = time.monotonic()
        version = self.cluster.register.documents[service].version
        waiting = self.readers(service)
        key = service_key(service)
        while waiting and time.monotonic() - began < FORCE_TIMEOUT_SECONDS:
            waiting = [
                each
                for each in waiting
                if each in self.readers(service)
                and await self._version(each, key) < version
            ]
            if waiting:
                await asyncio.sleep(POLL_SECONDS)
        if waiting:
            self.never_in_force += 1
            return
        self.force_seconds.append(time.monotonic() - began)

    def _pending(self) -> set[asyncio.Task[None]]:
        return {each for each in self._tasks if not each.done()}

    async def _version(self, daemon: Address, key: str) -> int:
        report = await read_status(daemon, self.cluster.plan.fleet_keys)
        return report.version.get(key, 0) if report else 0


def _has_ended(task: asyncio.Task[None]) -> bool:
    return task.done() and not task.cancelled()
