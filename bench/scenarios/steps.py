"""Steps that a scenario file can name; each is a registered plug-in."""

import asyncio
from abc import abstractmethod

from attrs import evolve

from bench.scenarios.file import Scenario, ScenarioError, StepPlan
from bench.scenarios.stage import RunContext
from dragonflyshift._internal.exceptions import KernelError
from dragonflyshift._internal.kernel.registry import Plugin, find_plugin
from tests.lib.cluster import Balancer, Instance

FABRIC_UPDATE_DELAY_SECONDS = 1.0


class Step(Plugin, kind='scenario-step'):
    """An action on a running cluster.

    Example:
        >>> class Pause(Step, name='pause-platform'):
        ...     async def run(
        ...         self, context: RunContext, plan: StepPlan
        ...     ) -> None:
        ...         context.cluster.platform.pause()
    """

    @abstractmethod
    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Perform the step with the parameters in ``plan``."""


def find_step(name: str) -> Step:
    """Return the step of that name; raise ScenarioError if unknown."""
    try:
        return find_plugin(Step, name)()
    except KernelError as exc:
        raise ScenarioError(f'{exc.message}; {exc.hint}') from exc


def check_steps(scenario: Scenario) -> None:
    """Raise ScenarioError if a scenario names an unknown step."""
    for plan in scenario.step:
        find_step(plan.do)


async def remove_balancer(context: RunContext, balancer: Balancer) -> None:
    """Stop a balancer gracefully."""
    status = await context.cluster.remove_balancer(balancer)
    context.print_progress(
        f'{balancer.program.name} ended with status {status}'
    )


async def leave_endpoint(context: RunContext, instance: Instance) -> None:
    """Mark an endpoint as leaving in its document, then send SIGTERM."""
    context.record_leaving(instance)
    await context.cluster.register.mark_leaving(instance.service, instance.name)
    context.run_in_background(context.measure_rollout(instance.service))
    context.run_in_background(_stop_instance(context, instance))


async def replace_balancer(context: RunContext, balancer: Balancer) -> None:
    """Start a new balancer and stop the given one in the background."""
    await context.cluster.add_balancer()
    context.run_in_background(remove_balancer(context, balancer))


class KillBalancer(Step, name='kill-balancer'):
    """Kill a balancer; the fabric keeps sending to it for a second."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Kill the balancer and update the fabric after the delay."""
        balancer = context.cluster.balancers[plan.balancer]
        await context.cluster.kill_balancer(balancer)
        await asyncio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
        await context.cluster.update_fabric()


class AddBalancer(Step, name='add-balancer'):
    """Add a new balancer to the cluster."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Start the balancer and add it to the fabric."""
        await context.cluster.add_balancer()


class ReplaceBalancers(Step, name='replace-balancers'):
    """Replace all balancers gracefully, one after another."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Start a replacement for each balancer and stop the old one."""
        for balancer in tuple(context.cluster.balancers):
            await replace_balancer(context, balancer)


class LeaveEndpoint(Step, name='leave-endpoint'):
    """Remove an endpoint gracefully."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Mark the endpoint as leaving and send SIGTERM."""
        await leave_endpoint(context, context.instance(plan))


class LeaveAndReplace(Step, name='leave-and-replace'):
    """Remove an endpoint and replace a balancer at the same time."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Run both operations concurrently."""
        balancer = context.cluster.balancers[plan.balancer]
        await asyncio.gather(
            leave_endpoint(context, context.instance(plan)),
            replace_balancer(context, balancer),
        )


class ChangeRules(Step, name='change-rules'):
    """Change a rule of a service and measure when it is in force."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Raise the queue limit by one to publish a new version."""
        service = plan.service or context.scenario.service[0].name
        rules = context.cluster.register.documents[service].rules
        changed = evolve(rules, queue_limit=rules.queue_limit + 1)
        await context.cluster.register.change(service, rules=changed)
        context.run_in_background(context.measure_rollout(service))


async def _stop_instance(context: RunContext, instance: Instance) -> None:
    status = await context.cluster.stop_instance(instance)
    context.print_progress(f'{instance.name} ended with status {status}')
