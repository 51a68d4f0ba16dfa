"""The steps that a scenario's file can name; each registers itself."""

import asyncio
from abc import abstractmethod

from attrs import evolve

from bench.scenario_file import Scenario, ScenarioError, StepPlan
from bench.scenario_stage import Stage
from dragonflyshift._internal.exceptions import KernelError
from dragonflyshift._internal.kernel.registry import Plugin, find_plugin
from tests.lib.cluster import Balancer, Instance

NOTICE_SECONDS = 1.0


class Step(Plugin, kind='scenario-step'):
    """Something that is done to a running cluster.

    Example:
        >>> class Pause(Step, name='pause-platform'):
        ...     async def run(self, stage: Stage, plan: StepPlan) -> None:
        ...         stage.cluster.platform.pause()
    """

    @abstractmethod
    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Do it."""


def find_step(name: str) -> Step:
    """Return the step of a name; raise ScenarioError if unknown."""
    try:
        return find_plugin(Step, name)()
    except KernelError as exc:
        raise ScenarioError(f'{exc.message}; {exc.hint}') from exc


def check_steps(scenario: Scenario) -> None:
    """Raise ScenarioError when a step of a scenario is unknown."""
    for plan in scenario.step:
        find_step(plan.do)


async def remove_balancer(stage: Stage, balancer: Balancer) -> None:
    """Stop a balancer as planned."""
    status = await stage.cluster.remove_balancer(balancer)
    stage.say(f'{balancer.program.name} ended with status {status}')


async def leave(stage: Stage, instance: Instance) -> None:
    """Let an endpoint leave, by the register and then by SIGTERM."""
    stage.leave(instance)
    await stage.cluster.register.mark_leaving(instance.service, instance.name)
    stage.background(stage.watch_version(instance.service))
    stage.background(_stop(stage, instance))


async def replace_balancer(stage: Stage, balancer: Balancer) -> None:
    """Start a balancer and stop another one."""
    await stage.cluster.add_balancer()
    stage.background(remove_balancer(stage, balancer))


class KillBalancer(Step, name='kill-balancer'):
    """Kill a balancer; the fabric goes on sending to it for a second."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Kill it, and tell the fabric later."""
        balancer = stage.cluster.balancers[plan.balancer]
        await stage.cluster.kill_balancer(balancer)
        await asyncio.sleep(NOTICE_SECONDS)
        await stage.cluster.update_fabric()


class AddBalancer(Step, name='add-balancer'):
    """Let a fresh balancer join."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Start it and let the fabric use it."""
        await stage.cluster.add_balancer()


class ReplaceBalancers(Step, name='replace-balancers'):
    """Replace all balancers in turn, as planned."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Start a new one for each old one."""
        for balancer in tuple(stage.cluster.balancers):
            await replace_balancer(stage, balancer)


class LeaveEndpoint(Step, name='leave-endpoint'):
    """Let an endpoint leave as planned."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Declare it and send SIGTERM."""
        await leave(stage, stage.instance(plan))


class LeaveAndReplace(Step, name='leave-and-replace'):
    """Let an endpoint leave and replace a balancer in the same second."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Do both at once."""
        balancer = stage.cluster.balancers[plan.balancer]
        await asyncio.gather(
            leave(stage, stage.instance(plan)),
            replace_balancer(stage, balancer),
        )


class ChangeRules(Step, name='change-rules'):
    """Change a rule of a service, and measure when it is in force."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Raise the limit of queued requests by one."""
        service = plan.service or stage.scenario.service[0].name
        rules = stage.cluster.register.documents[service].rules
        changed = evolve(rules, queue_limit=rules.queue_limit + 1)
        await stage.cluster.register.change(service, rules=changed)
        stage.background(stage.watch_version(service))


async def _stop(stage: Stage, instance: Instance) -> None:
    status = await stage.cluster.stop_instance(instance)
    stage.say(f'{instance.name} ended with status {status}')
