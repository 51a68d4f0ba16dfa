"""Scenario steps that inject faults."""

import asyncio

from bench.scenarios.file import StepPlan
from bench.scenarios.stage import RunContext
from bench.scenarios.steps import FABRIC_UPDATE_DELAY_SECONDS, Step
from tests.lib.cluster import Instance

COUNT_INTERVAL_SECONDS = 0.3


class KillBackend(Step, name='kill-backend'):
    """Kill a backend server and leave its sidecar running."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Kill the backend server."""
        instance = context.instance(plan)
        context.mark_touched(instance)
        await instance.kill_backend()


class SlowBackend(Step, name='slow-backend'):
    """Slow down a backend server."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Set the service time of short requests to the step's delay."""
        instance = context.instance(plan)
        context.mark_touched(instance)
        await instance.set_behavior(delay=plan.delay)


class ShedBackend(Step, name='shed-backend'):
    """Make a backend server shed all load."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Shed every request from now on."""
        instance = context.instance(plan)
        context.mark_touched(instance)
        await instance.set_behavior(shed=True)


class ColdBackend(Step, name='cold-backend'):
    """Restart an endpoint whose backend server is slow at first."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Stop the endpoint gracefully and restart it in the background."""
        context.run_in_background(
            _restart_cold(context, context.instance(plan), plan.seconds)
        )


class PlatformDown(Step, name='platform-down'):
    """Make the platform fail all reads."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Answer every request with an error."""
        await context.cluster.set_platform_mode('down')


class PlatformUp(Step, name='platform-up'):
    """Restore the platform's normal answers."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Switch the platform back to normal operation."""
        await context.cluster.set_platform_mode('up')


class Freeze(Step, name='freeze'):
    """Freeze a sidecar or a balancer with SIGSTOP."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Stop the process.

        The fabric stops sending to a frozen balancer after a second.
        """
        if plan.target == 'sidecar':
            instance = context.instance(plan)
            context.mark_touched(instance)
            context.frozen_sidecars.append(instance)
            instance.sidecar.pause()
            return
        balancer = context.cluster.balancers[plan.balancer]
        balancer.program.pause()
        context.cluster.balancers.remove(balancer)
        context.frozen_balancers.append(balancer)
        await asyncio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
        await context.cluster.update_fabric()


class Thaw(Step, name='thaw'):
    """Resume all frozen sidecars and balancers with SIGCONT."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Resume the processes and add the balancers to the fabric again."""
        for instance in context.frozen_sidecars:
            instance.sidecar.resume()
        for balancer in context.frozen_balancers:
            balancer.program.resume()
        context.cluster.balancers.extend(context.frozen_balancers)
        context.frozen_sidecars.clear()
        context.frozen_balancers.clear()
        await context.cluster.update_fabric()


class LoseDataCenter(Step, name='lose-data-center'):
    """Kill all processes in one data centre at once."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Kill instances and balancers; update the fabric after the delay."""
        data_center = (
            plan.data_center or context.scenario.service[0].data_centers[0]
        )
        lost = [
            each
            for each in context.cluster.instances
            if each.endpoint.data_center == data_center
        ]
        balancers = [
            each
            for each in context.cluster.balancers
            if each.data_center == data_center
        ]
        context.print_progress(
            f'{len(lost)} endpoints, {len(balancers)} balancers lost'
        )
        await asyncio.gather(
            *(_kill_instance(context, each) for each in lost),
            *(context.cluster.kill_balancer(each) for each in balancers),
        )
        await asyncio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
        await context.cluster.update_fabric()


class CutClient(Step, name='cut-client'):
    """Drop all datagrams of some clients that are sending now."""

    async def run(self, context: RunContext, plan: StepPlan) -> None:
        """Find clients whose packet counts rise and drop their datagrams."""
        control = context.cluster.fabric_control
        before = (await control.get('/control/counts'))['by_client']
        await asyncio.sleep(COUNT_INTERVAL_SECONDS)
        after = (await control.get('/control/counts'))['by_client']
        active = sorted(
            name for name, counts in after.items() if counts != before.get(name)
        )
        cut = active[: plan.count]
        context.print_progress(f'{len(cut)} clients go silent')
        await context.cluster.set_faults(cut_clients=cut)


async def _kill_instance(context: RunContext, instance: Instance) -> None:
    context.mark_touched(instance)
    await asyncio.gather(instance.sidecar.kill(), instance.kill_backend())


async def _restart_cold(
    context: RunContext, instance: Instance, cold: float
) -> None:
    context.mark_touched(instance)
    status = await context.cluster.stop_instance(instance)
    context.print_progress(f'{instance.name} ended with status {status}')
    await instance.backend.start()
    await instance.set_behavior(cold=cold)
    await instance.sidecar.start()
    context.print_progress(f'{instance.name} is back, cold')
