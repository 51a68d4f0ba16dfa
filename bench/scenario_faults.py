"""Steps that break something."""

import asyncio

from bench.scenario_file import StepPlan
from bench.scenario_stage import Stage
from bench.scenario_steps import NOTICE_SECONDS, Step
from tests.lib.cluster import Instance

COUNTS_SECONDS = 0.3


class KillBackend(Step, name='kill-backend'):
    """Kill a backend server; its sidecar stays."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Kill it."""
        instance = stage.instance(plan)
        stage.touch(instance)
        await instance.kill_backend()


class SlowBackend(Step, name='slow-backend'):
    """Make a backend server slow."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Set the service time of its short requests."""
        instance = stage.instance(plan)
        stage.touch(instance)
        await instance.set_behavior(delay=plan.delay)


class ShedBackend(Step, name='shed-backend'):
    """Let a backend server shed all load."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Shed from now on."""
        instance = stage.instance(plan)
        stage.touch(instance)
        await instance.set_behavior(shed=True)


class ColdBackend(Step, name='cold-backend'):
    """Restart an endpoint; its backend server is slow at first."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Stop it as planned and start it again in the background."""
        stage.background(_restart(stage, stage.instance(plan), plan.seconds))


class PlatformDown(Step, name='platform-down'):
    """Let the platform answer no reader."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Answer all with an error."""
        await stage.cluster.set_platform_mode('down')


class PlatformUp(Step, name='platform-up'):
    """Let the platform answer again."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Answer as usual."""
        await stage.cluster.set_platform_mode('up')


class Freeze(Step, name='freeze'):
    """Freeze a sidecar or a balancer with SIGSTOP."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Stop it; of a balancer the fabric hears a second later."""
        if plan.target == 'sidecar':
            instance = stage.instance(plan)
            stage.touch(instance)
            stage.frozen_sidecars.append(instance)
            instance.sidecar.pause()
            return
        balancer = stage.cluster.balancers[plan.balancer]
        balancer.program.pause()
        stage.cluster.balancers.remove(balancer)
        stage.frozen_balancers.append(balancer)
        await asyncio.sleep(NOTICE_SECONDS)
        await stage.cluster.update_fabric()


class Thaw(Step, name='thaw'):
    """Let all that was frozen go on."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Resume, and give the balancers back to the fabric."""
        for instance in stage.frozen_sidecars:
            instance.sidecar.resume()
        for balancer in stage.frozen_balancers:
            balancer.program.resume()
        stage.cluster.balancers.extend(stage.frozen_balancers)
        stage.frozen_sidecars.clear()
        stage.frozen_balancers.clear()
        await stage.cluster.update_fabric()


class LoseDataCenter(Step, name='lose-data-center'):
    """Kill everything in one data centre at once."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Kill its instances and balancers; the fabric hears later."""
        place = plan.data_center or stage.scenario.service[0].data_centers[0]
        lost = [
            each
            for each in stage.cluster.instances
            if each.endpoint.data_center == place
        ]
        balancers = [
            each
            for each in stage.cluster.balancers
            if each.data_center == place
        ]
        stage.say(f'{len(lost)} endpoints, {len(balancers)} balancers lost')
        await asyncio.gather(
            *(_kill(stage, each) for each in lost),
            *(stage.cluster.kill_balancer(each) for each in balancers),
        )
        await asyncio.sleep(NOTICE_SECONDS)
        await stage.cluster.update_fabric()


class CutClient(Step, name='cut-client'):
    """Drop all datagrams of some clients that are sending now."""

    async def run(self, stage: Stage, plan: StepPlan) -> None:
        """Find clients whose counts rise, and cut them off."""
        control = stage.cluster.fabric_control
        before = (await control.get('/control/counts'))['by_client']
        await asyncio.sleep(COUNTS_SECONDS)
        after = (await control.get('/control/counts'))['by_client']
        active = sorted(
            name for name, counts in after.items() if counts != before.get(name)
        )
        cut = active[: plan.count]
        stage.say(f'{len(cut)} clients go silent')
        await stage.cluster.set_faults(cut_clients=cut)


async def _kill(stage: Stage, instance: Instance) -> None:
    stage.touch(instance)
    await asyncio.gather(instance.sidecar.kill(), instance.kill_backend())


async def _restart(stage: Stage, instance: Instance, cold: float) -> None:
    stage.touch(instance)
    status = await stage.cluster.stop_instance(instance)
    stage.say(f'{instance.name} ended with status {status}')
    await instance.backend.start()
    await instance.set_behavior(cold=cold)
    await instance.sidecar.start()
    stage.say(f'{instance.name} is back, cold')
