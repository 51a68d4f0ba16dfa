"""Demo: load on a cluster while a balancer is killed and a sidecar drained.

All components run as separate processes on loopback. The exit status is 0
only if every guarantee held.
"""

import argparse
import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import AsyncIterator

from attrs import define, evolve, frozen

from tests.lib.cluster import Cluster, ClusterPlan, Instance
from tests.lib.declarations import ANYWHERE_RULES, ServicePlan
from tests.lib.load import Load, Target
from tests.lib.summary import (
    JournalCheck,
    Summary,
    check_journals,
    started_after,
)

TRAFFIC_SECONDS = 16.0
KILL_AT_SHARE = 0.25
FABRIC_UPDATE_DELAY_SECONDS = 1.0
DRAIN_AT_SHARE = 0.5
LEAVING_SECONDS = 5.0
KUALA_LUMPUR = ('kl-bangsar', 'kl-cheras', 'kl-sentul')
OROMIA = ('adama', 'bishoftu', 'batu')
EXPORT_BYTES = 600_000
BOARD_SECONDS = 4.0
THINK_SECONDS = 0.04
INTERRUPTED_STATUS = 130


@frozen
class Traffic:
    """The load on one service: its plan, request mix and client count."""

    plan: ServicePlan
    mix: dict[str, float]
    clients: int

    def scaled(self, scale: float) -> 'Traffic':
        """Return a copy with scaled endpoints and clients, at least 2."""
        endpoints = max(2, round(self.plan.endpoints * scale))
        plan = evolve(self.plan, endpoints=endpoints)
        clients = max(2, round(self.clients * scale))
        return evolve(self, plan=plan, clients=clients)


def _association(name: str, endpoints: int) -> ServicePlan:
    return ServicePlan(
        name,
        'association',
        endpoints=endpoints,
        slots=3,
        data_centers=KUALA_LUMPUR,
        region='kuala-lumpur',
        rules=ANYWHERE_RULES,
    )


def _tesfa(name: str, endpoints: int) -> ServicePlan:
    return ServicePlan(
        name,
        'tesfa',
        endpoints=endpoints,
        slots=4,
        data_centers=OROMIA,
        region='oromia',
        rules=ANYWHERE_RULES,
    )


SERVICES = (
    Traffic(_association('reading-lists', 7), {'list': 8, 'edit': 2}, 8),
    Traffic(_association('exports', 3), {'export': 1}, 3),
    Traffic(
        _tesfa('parts-and-tickets', 7),
        {'list': 4, 'ticket': 3, 'board': 3},
        10,
    ),
    Traffic(_tesfa('warranty-review', 3), {'photo': 1}, 3),
)


@define
class Outcome:
    """The results of the demo.

    ``late`` counts the requests that the drained instance started more than
    LEAVING_SECONDS after it was declared leaving.
    """

    summary: Summary
    journal_check: JournalCheck
    late: int
    drain_status: int

    def rows(self) -> list[tuple[str, object, bool]]:
        """Return rows of a label, a count and whether the guarantee holds."""
        summary = self.summary
        check = self.journal_check
        not_run = summary.refused_not_run
        twice = len(check.run_twice)
        wrong = summary.wrong_service + len(check.wrong_service)
        refused = len(check.refused_but_ran)
        return [
            ('requests', summary.requests, summary.requests > 0),
            ('whole answers', summary.whole, summary.whole > 0),
            ('flows', summary.flows, summary.flows > 0),
            ('broken flows', summary.broken_flows, not summary.broken_flows),
            ('failed handshakes', summary.failed_handshakes, True),
            ('refused as not run', not_run, True),
            ('refused, yet it ran', refused, not refused),
            ('outcome unknown', summary.unknown, not summary.unknown),
            ('other errors', summary.refused_other, not summary.refused_other),
            ('wrong body', summary.wrong_body, not summary.wrong_body),
            ('run twice', twice, not twice),
            (
                'confirmed, yet lost',
                len(check.lost_saves),
                not self.has_lost_saves,
            ),
            ('delivered to the wrong service', wrong, not wrong),
            ('work begun on the drained one', self.late, not self.late),
            (
                'exit status of the drained one',
                self.drain_status,
                self.exited_cleanly,
            ),
        ]

    @property
    def has_lost_saves(self) -> bool:
        """Whether a confirmed save was lost."""
        return bool(self.journal_check.lost_saves)

    @property
    def exited_cleanly(self) -> bool:
        """Whether the drained sidecar exited with status 0."""
        return self.drain_status == 0

    @property
    def holds(self) -> bool:
        """Whether every guarantee held."""
        return all(held for _name, _count, held in self.rows())


class Demo:
    """Runs the steps of the demo on a started cluster."""

    def __init__(self, cluster: Cluster, services: list[Traffic]) -> None:
        self._cluster = cluster
        self._services = services
        self._started_at = time.monotonic()

    def print_progress(self, text: str) -> None:
        """Print a progress message with the elapsed time."""
        seconds = time.monotonic() - self._started_at
        print(f'[{seconds:5.1f} s] {text}', flush=True)

    async def run(self, seconds: float) -> Outcome:
        """Drive load for ``seconds``, inject the faults and check the results.

        A balancer is killed and an endpoint is drained meanwhile.
        """
        cluster = self._cluster
        options = cluster.options(
            export_bytes=EXPORT_BYTES,
            board_seconds=BOARD_SECONDS,
            think=THINK_SECONDS,
        )
        targets = [self._target(each) for each in self._services]
        load = Load(targets, options)
        self.print_progress(f'traffic for {seconds:.0f} s')
        load.start()
        async with self._printing_counts(load.summary):
            await asyncio.sleep(seconds * KILL_AT_SHARE)
            await self._kill_balancer()
            await asyncio.sleep(seconds * (DRAIN_AT_SHARE - KILL_AT_SHARE))
            leaving = cluster.instances_of('parts-and-tickets')[0]
            leaving_since = time.time()
            status = await self._drain(leaving)
            spent = time.time() - leaving_since
            await asyncio.sleep(max(0, seconds * (1 - DRAIN_AT_SHARE) - spent))
            summary = await load.stop()
        self.print_progress('traffic ended; comparing with the journals')
        journal = await cluster.journal()
        since = leaving_since + LEAVING_SECONDS
        late = started_after(journal, leaving.name, since)
        check = check_journals(summary, journal)
        return Outcome(summary, check, len(late), status)

    def _target(self, traffic: Traffic) -> Target:
        name = traffic.plan.name
        return self._cluster.target(name, traffic.mix, traffic.clients)

    async def _kill_balancer(self) -> None:
        balancer = self._cluster.balancers[0]
        self.print_progress(f'killing {balancer.program.name} with SIGKILL')
        await self._cluster.kill_balancer(balancer)
        await asyncio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
        await self._cluster.update_fabric()
        self.print_progress('the fabric stopped sending to it')

    async def _drain(self, leaving: Instance) -> int:
        self.print_progress(f'draining {leaving.name}')
        await self._cluster.register.mark_leaving(leaving.service, leaving.name)
        status = await self._cluster.stop_instance(leaving)
        self.print_progress(f'{leaving.name} ended with status {status}')
        return status

    @contextlib.asynccontextmanager
    async def _printing_counts(self, summary: Summary) -> AsyncIterator[None]:
        task = asyncio.create_task(self._print_counts(summary))
        try:
            yield
        finally:
            task.cancel()

    async def _print_counts(self, summary: Summary) -> None:
        while True:
            await asyncio.sleep(2)
            self.print_progress(
                f'{summary.requests} requests, {summary.whole} whole, '
                f'{summary.broken_flows} broken flows',
            )


def show_table(outcome: Outcome) -> None:
    """Print the results as a table."""
    print()
    for name, count, held in outcome.rows():
        mark = '' if held else '  <- promise broken'
        print(f'  {name:<32}{count:>8}{mark}')
    print('\n  imbalance (largest to mean slot-seconds of an instance)')
    for service, ratio in outcome.journal_check.imbalance.items():
        print(f'    {service:<30}{ratio:>8.2f}')
    print('\n  latency in seconds: median, 90 %, 99 %, largest')
    for kind, quantiles in outcome.summary.quantiles().items():
        cells = ''.join(f'{each:>9.3f}' for each in quantiles)
        print(f'    {kind:<12}{cells}')
    for problem in outcome.summary.problems:
        print(f'  problem: {problem}')
    print(flush=True)


def _cancel_on_sigterm() -> None:
    """Cancel the current task on SIGTERM, so that it ends all processes."""
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)


async def run_demo(seconds: float, scale: float, seed: int) -> int:
    """Run the demo and return the exit status."""
    _cancel_on_sigterm()
    services = [each.scaled(scale) for each in SERVICES]
    plans = tuple(each.plan for each in services)
    plan = ClusterPlan(services=plans, seed=seed)
    cluster = Cluster(plan)
    demo = Demo(cluster, services)
    count = sum(each.endpoints for each in plans)
    demo.print_progress(
        f'starting {plan.balancers} balancers and {count} endpoints'
    )
    async with cluster:
        outcome = await demo.run(seconds)
    demo.print_progress('all processes ended')
    show_table(outcome)
    conclusion = 'all promises held' if outcome.holds else 'a promise broke'
    print(conclusion, flush=True)
    return 0 if outcome.holds else 1


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=TRAFFIC_SECONDS)
    parser.add_argument('--scale', type=float, default=1.0)
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    try:
        return asyncio.run(run_demo(args.seconds, args.scale, args.seed))
    except (KeyboardInterrupt, asyncio.CancelledError):
        print('interrupted; all processes ended', file=sys.stderr)
        return INTERRUPTED_STATUS


if __name__ == '__main__':
    sys.exit(main())
