"""One run of one scenario with one version."""

import asyncio
import time

import httpx
from attrs import field, frozen

from bench.naive import NAIVE_FLAGS
from bench.scenario_cost import (
    Sample,
    load_average,
    own_share,
    role_costs,
)
from bench.scenario_figures import (
    Figures,
    balance,
    count_wrongly_refused,
    last_begins,
    latencies,
    ours_only,
)
from bench.scenario_file import Scenario, StepPlan
from bench.scenario_stage import Stage
from bench.scenario_steps import find_step
from tests.lib.cluster import Cluster, ClusterPlan
from tests.lib.load import Load
from tests.lib.summary import Summary, check_journals

__all__ = ('VERSIONS', 'run_scenario')

VERSIONS: dict[str, tuple[str, ...]] = {'ours': (), 'naive': NAIVE_FLAGS}
IDLE_SECONDS = 4.0
ANSWER_SECONDS = 6.0
BOARD_SECONDS = 2.0
END_SECONDS = 6.0
SETTLE_SECONDS = 6.0
RUN_LIMIT_SECONDS = 60.0
PROGRESS_SECONDS = 3.0
COUNTS = (
    'requests',
    'whole',
    'broken_flows',
    'failed_handshakes',
    'refused_not_run',
    'unknown',
    'refused_other',
    'wrong_body',
)


@frozen
class Samples:
    """What the daemons had used before the rest, after it and at the end."""

    before: Sample
    rested: Sample
    after: Sample


@frozen
class Ended:
    """A run's end: what clients saw, and whether all requests had one."""

    summary: Summary
    samples: Samples
    ended: bool
    problems: list[str] = field(factory=list)


def cluster_plan(scenario: Scenario, version: str, seed: int) -> ClusterPlan:
    """Return the cluster that a scenario takes."""
    first = scenario.service[0]
    kills = {'kill-backend', 'lose-data-center'}
    echo = ('--echo',) if kills & {each.do for each in scenario.step} else ()
    flags = ('--log-level=info', f'--idle-timeout={IDLE_SECONDS}')
    return ClusterPlan(
        services=tuple(each.plan() for each in scenario.service),
        balancers=scenario.balancers,
        seed=seed,
        backend_flags=(f'--delay={first.delay}', *echo),
        daemon_flags=(*flags, *VERSIONS[version]),
        balancer_data_centers=first.data_centers,
    )


async def run_scenario(scenario: Scenario, version: str, seed: int) -> Figures:
    """Start a cluster, drive load through the steps, and measure.

    Whatever fails is told in the figures' problems.
    """
    figures = Figures(scenario.name, version, seed, scenario.seconds)
    figures.load_average = load_average()
    cluster = Cluster(cluster_plan(scenario, version, seed))
    try:
        async with asyncio.timeout(RUN_LIMIT_SECONDS), cluster:
            stage = Stage(scenario, cluster)
            stage.say(f'{scenario.processes} processes at most; all started')
            await _set_delays(stage)
            ended = await _drive(stage)
            await _measure(stage, ended, figures)
    except (OSError, RuntimeError, httpx.HTTPError) as exc:
        figures.failed = True
        figures.problems.append(f'run failed: {type(exc).__name__}: {exc}')
    return figures


async def _set_delays(stage: Stage) -> None:
    for service in stage.scenario.service:
        for instance in stage.cluster.instances_of(service.name):
            await instance.set_behavior(delay=service.delay)


async def _drive(stage: Stage) -> Ended:
    scenario = stage.scenario
    cluster = stage.cluster
    before = await Sample.take(cluster)
    await asyncio.sleep(scenario.rest)
    rested = await Sample.take(cluster)
    load = _build_load(stage)
    load.start()
    began = time.monotonic()
    stage.background(_run_steps(stage, began))
    await _wait(stage, load.summary, began + scenario.seconds)
    after = await Sample.take(cluster)
    ended = True
    try:
        async with asyncio.timeout(END_SECONDS):
            await load.stop()
    except TimeoutError:
        ended = False
    problems = await stage.settle(SETTLE_SECONDS)
    samples = Samples(before, rested, after)
    return Ended(load.summary, samples, ended, problems)


def _build_load(stage: Stage) -> Load:
    cluster = stage.cluster
    options = cluster.options(
        think=stage.scenario.think,
        board_seconds=BOARD_SECONDS,
        answer_timeout=ANSWER_SECONDS,
        idle_timeout=IDLE_SECONDS,
    )
    targets = [
        cluster.target(each.name, each.mix, each.clients)
        for each in stage.scenario.service
    ]
    return Load(targets, options)


async def _wait(stage: Stage, summary: Summary, until: float) -> None:
    while (remaining := until - time.monotonic()) > 0:
        await asyncio.sleep(min(PROGRESS_SECONDS, remaining))
        stage.say(
            f'{summary.requests} requests, {summary.whole} whole answers, '
            f'{summary.broken_flows} broken flows, '
            f'{summary.refused_not_run} refused',
        )


async def _run_steps(stage: Stage, began: float) -> None:
    """Start each step at its time, also while another one runs."""
    steps = sorted(stage.scenario.step, key=lambda each: each.at)
    for plan in steps:
        await asyncio.sleep(max(0, began + plan.at - time.monotonic()))
        stage.background(_run_step(stage, plan))


async def _run_step(stage: Stage, plan: StepPlan) -> None:
    stage.say(plan.do)
    await find_step(plan.do).run(stage, plan)


async def _measure(stage: Stage, ended: Ended, figures: Figures) -> None:
    summary = ended.summary
    for count in COUNTS:
        setattr(figures, count, getattr(summary, count))
    for instance in stage.frozen_sidecars:
        instance.sidecar.resume()
    journal = ours_only(await stage.cluster.journal())
    verdict = check_journals(summary, journal)
    untouched = [
        each
        for each in stage.cluster.instances
        if each.name not in stage.touched
    ]
    figures.run_twice = len(verdict.run_twice)
    figures.refused_but_ran = len(verdict.refused_but_ran)
    figures.lost_saves = len(verdict.lost_saves)
    figures.wrong_service = summary.wrong_service + len(verdict.wrong_service)
    figures.wrongly_refused = count_wrongly_refused(
        summary.refusals,
        untouched,
        journal,
    )
    figures.balance = balance(untouched, journal, time.time())
    figures.latency_ms = latencies(summary.latencies)
    figures.leave_seconds = last_begins(stage.leavings, journal)
    figures.force_seconds = list(stage.force_seconds)
    figures.never_in_force = stage.never_in_force
    samples = ended.samples
    figures.costs = role_costs(samples.before, samples.rested, samples.after)
    figures.client_share = own_share(samples.rested, samples.after)
    figures.unended = not ended.ended
    if figures.unended:
        figures.problems.append('some requests had no end')
    figures.problems.extend((*ended.problems, *summary.problems))
