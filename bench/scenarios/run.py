"""Runs one scenario against one version of the load balancer."""

import asyncio
import time

import httpx
from attrs import field, frozen

from bench.naive import NAIVE_FLAGS
from bench.scenarios.cost import (
    Sample,
    client_cpu_share,
    load_average,
    role_costs,
)
from bench.scenarios.figures import (
    RunResult,
    compare_instances,
    count_wrongly_refused,
    last_start_delays,
    latency_percentiles,
    load_entries,
)
from bench.scenarios.file import Scenario, StepPlan
from bench.scenarios.stage import RunContext
from bench.scenarios.steps import find_step
from tests.lib.cluster import Cluster, ClusterPlan
from tests.lib.load import Load
from tests.lib.summary import Summary, check_journals

__all__ = ('VERSIONS', 'run_scenario')

VERSIONS: dict[str, tuple[str, ...]] = {'ours': (), 'naive': NAIVE_FLAGS}
IDLE_TIMEOUT_SECONDS = 4.0
ANSWER_TIMEOUT_SECONDS = 6.0
BOARD_SECONDS = 2.0
STOP_TIMEOUT_SECONDS = 6.0
BACKGROUND_TIMEOUT_SECONDS = 6.0
RUN_LIMIT_SECONDS = 60.0
PROGRESS_INTERVAL_SECONDS = 3.0
SUMMARY_FIELDS = (
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
    """Daemon resource usage before and after the idle period and the load."""

    before: Sample
    after_idle: Sample
    after: Sample


@frozen
class LoadOutcome:
    """Client-side summary of the load, and whether all requests ended."""

    summary: Summary
    samples: Samples
    ended: bool
    problems: list[str] = field(factory=list)


def cluster_plan(scenario: Scenario, version: str, seed: int) -> ClusterPlan:
    """Return the configuration of the test cluster for a scenario."""
    first = scenario.service[0]
    kills = {'kill-backend', 'lose-data-center'}
    echo = ('--echo',) if kills & {each.do for each in scenario.step} else ()
    flags = ('--log-level=info', f'--idle-timeout={IDLE_TIMEOUT_SECONDS}')
    return ClusterPlan(
        services=tuple(each.plan() for each in scenario.service),
        balancers=scenario.balancers,
        seed=seed,
        backend_flags=(f'--delay={first.delay}', *echo),
        daemon_flags=(*flags, *VERSIONS[version]),
        balancer_data_centers=first.data_centers,
    )


async def run_scenario(
    scenario: Scenario, version: str, seed: int
) -> RunResult:
    """Start a cluster, apply load while the steps run, and measure.

    Network and process errors do not raise: they mark the result as failed
    and are listed in its ``problems``.
    """
    result = RunResult(scenario.name, version, seed, scenario.seconds)
    result.load_average = load_average()
    cluster = Cluster(cluster_plan(scenario, version, seed))
    try:
        async with asyncio.timeout(RUN_LIMIT_SECONDS), cluster:
            context = RunContext(scenario, cluster)
            context.print_progress(
                f'{scenario.processes} processes at most; all started'
            )
            await _set_delays(context)
            outcome = await _run_load(context)
            await _fill_result(context, outcome, result)
    except (OSError, RuntimeError, httpx.HTTPError) as exc:
        result.failed = True
        result.problems.append(f'run failed: {type(exc).__name__}: {exc}')
    return result


async def _set_delays(context: RunContext) -> None:
    for service in context.scenario.service:
        for instance in context.cluster.instances_of(service.name):
            await instance.set_behavior(delay=service.delay)


async def _run_load(context: RunContext) -> LoadOutcome:
    scenario = context.scenario
    cluster = context.cluster
    before = await Sample.take(cluster)
    await asyncio.sleep(scenario.rest)
    after_idle = await Sample.take(cluster)
    load = _build_load(context)
    load.start()
    started_at = time.monotonic()
    context.run_in_background(_run_steps(context, started_at))
    await _report_progress(context, load.summary, started_at + scenario.seconds)
    after = await Sample.take(cluster)
    ended = True
    try:
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            await load.stop()
    except TimeoutError:
        ended = False
    problems = await context.wait_for_background(BACKGROUND_TIMEOUT_SECONDS)
    samples = Samples(before, after_idle, after)
    return LoadOutcome(load.summary, samples, ended, problems)


def _build_load(context: RunContext) -> Load:
    cluster = context.cluster
    options = cluster.options(
        think=context.scenario.think,
        board_seconds=BOARD_SECONDS,
        answer_timeout=ANSWER_TIMEOUT_SECONDS,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
    )
    targets = [
        cluster.target(each.name, each.mix, each.clients)
        for each in context.scenario.service
    ]
    return Load(targets, options)


async def _report_progress(
    context: RunContext, summary: Summary, until: float
) -> None:
    while (remaining := until - time.monotonic()) > 0:
        await asyncio.sleep(min(PROGRESS_INTERVAL_SECONDS, remaining))
        context.print_progress(
            f'{summary.requests} requests, {summary.whole} whole answers, '
            f'{summary.broken_flows} broken flows, '
            f'{summary.refused_not_run} refused',
        )


async def _run_steps(context: RunContext, started_at: float) -> None:
    """Start each step at its time, even if an earlier one is still running."""
    steps = sorted(context.scenario.step, key=lambda each: each.at)
    for plan in steps:
        await asyncio.sleep(max(0, started_at + plan.at - time.monotonic()))
        context.run_in_background(_run_step(context, plan))


async def _run_step(context: RunContext, plan: StepPlan) -> None:
    context.print_progress(plan.do)
    await find_step(plan.do).run(context, plan)


async def _fill_result(
    context: RunContext, outcome: LoadOutcome, result: RunResult
) -> None:
    summary = outcome.summary
    for name in SUMMARY_FIELDS:
        setattr(result, name, getattr(summary, name))
    for instance in context.frozen_sidecars:
        instance.sidecar.resume()
    journal = load_entries(await context.cluster.journal())
    violations = check_journals(summary, journal)
    untouched = [
        each
        for each in context.cluster.instances
        if each.name not in context.touched
    ]
    result.run_twice = len(violations.run_twice)
    result.refused_but_ran = len(violations.refused_but_ran)
    result.lost_saves = len(violations.lost_saves)
    result.wrong_service = summary.wrong_service + len(violations.wrong_service)
    result.wrongly_refused = count_wrongly_refused(
        summary.refusals,
        untouched,
        journal,
    )
    result.balance = compare_instances(untouched, journal, time.time())
    result.latency_ms = latency_percentiles(summary.latencies)
    result.leave_seconds = last_start_delays(context.leavings, journal)
    result.force_seconds = list(context.force_seconds)
    result.never_in_force = context.never_in_force
    samples = outcome.samples
    result.costs = role_costs(samples.before, samples.after_idle, samples.after)
    result.client_share = client_cpu_share(samples.after_idle, samples.after)
    result.unended = not outcome.ended
    if result.unended:
        result.problems.append('some requests had no end')
    result.problems.extend((*outcome.problems, *summary.problems))
