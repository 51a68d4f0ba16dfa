"""Measure the processor time of real balancers and sidecars by phase.

    python -m bench.micro.processes [--users 30] [--seconds 8] [--profile DIR]

Three balancers and six sidecars run with a stand-in of the store. Each request
has a flow of its own, whose packets go to one balancer. The table has, for
each role, the time of a start, the share of a core at rest and the time for
each request. At rest, two balancers read the store, whose stand-in answers far
more watches than a store does. With ``--profile`` the functions of one balancer
and one sidecar that take most of the time are listed as well; a profiler makes
the processes about twice as slow, so these figures are for comparison with each
other only.
"""

import argparse
import asyncio
import pstats
import random
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from attrs import frozen

from bench.process_cost import ProcessCost
from bench.soak.backend import Violations
from bench.soak.clients import SoakClients
from bench.soak.fleet import SERVICES, SoakFleet

START_S = 4.0
REST_S = 4.0
MS_PER_S = 1000
PERCENT = 100
LISTED_FUNCTIONS = 25
PROFILED_DAEMONS = ('balancer-0', 'lists-0')


@frozen
class PhaseCosts:
    """Processor seconds of all daemons of a role, by phase."""

    daemons: int
    start_s: float
    rest_s: float
    load_s: float

    def describe(self, role: str, seconds: float, requests: int) -> str:
        """Return the row of a role in the table.

        The time of a request excludes what the daemons take at rest.
        """
        rest_rate = self.rest_s / REST_S
        request_s = (self.load_s - rest_rate * seconds) / max(1, requests)
        cells = (
            role,
            f'{self.start_s / self.daemons * MS_PER_S:.0f} ms',
            f'{rest_rate / self.daemons * PERCENT:.1f} %',
            f'{request_s * MS_PER_S * MS_PER_S:.0f} us',
        )
        return f'| {" | ".join(cells)} |'


@asynccontextmanager
async def _running(
    fleet: SoakFleet, tasks: list[asyncio.Task[None]]
) -> AsyncIterator[None]:
    """Run the fleet; cancel ``tasks`` and end the fleet afterwards."""
    await fleet.start()
    tasks.append(asyncio.create_task(fleet.probe_readiness()))
    try:
        yield
    finally:
        await _cancel(tasks)
        await fleet.close()


async def _cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def measure(
    folder: Path, users: int, seconds: float, options: Sequence[str]
) -> list[str]:
    """Run the fleet and return the lines of the table."""
    fleet = SoakFleet(folder, Violations(), python_options=tuple(options))
    tasks: list[asyncio.Task[None]] = []
    async with _running(fleet, tasks):
        clients = _create_clients(fleet)
        await asyncio.sleep(START_S)
        costs = [_read_costs(fleet)]
        await asyncio.sleep(REST_S)
        costs.append(_read_costs(fleet))
        tasks += [asyncio.create_task(clients.run_user()) for _ in range(users)]
        await asyncio.sleep(seconds)
        costs.append(_read_costs(fleet))
        requests = len(clients.answered_at)
        for name in PROFILED_DAEMONS:
            await fleet.daemons.stop(name, signal.SIGTERM)
    clients.close()
    balancers = _phases(costs, fleet.balancers())
    sidecars = _phases(costs, fleet.sidecars())
    return [
        f'{requests} requests in {seconds:g} s, '
        f'{len(clients.failed_at)} flows failed',
        '| role | start | at rest | request |',
        '|---|---|---|---|',
        balancers.describe('balancer', seconds, requests),
        sidecars.describe('sidecar', seconds, requests),
    ]


def _create_clients(fleet: SoakFleet) -> SoakClients:
    clients = SoakClients(
        (f'127.0.{fleet.subnet + 2}.1', fleet.ports['packets']),
        tuple(SERVICES.values()),
        fleet.ready_balancers,
        fleet.backends,
        random.Random(1),
        fleet.violations,
        requests_per_flow=1,
        is_steady=True,
    )
    clients.start()
    return clients


def _read_costs(fleet: SoakFleet) -> dict[str, float]:
    return {
        name: ProcessCost.read(process.pid).cpu_seconds
        for name, process in fleet.daemons.running.items()
    }


def _phases(
    costs: Sequence[dict[str, float]], names: Sequence[str]
) -> PhaseCosts:
    totals = [sum(each[name] for name in names) for each in costs]
    started, rested, loaded = totals
    return PhaseCosts(len(names), started, rested - started, loaded - rested)


def _print_profiles(folder: Path) -> None:
    for name in PROFILED_DAEMONS:
        print(f'\n{name}')
        with suppress(TypeError, FileNotFoundError):
            statistics = pstats.Stats(str(folder / f'{name}.prof'))
            statistics.sort_stats('tottime').print_stats(LISTED_FUNCTIONS)


def main(arguments: Sequence[str]) -> int:
    """Measure and print the table; return the exit status."""
    parser = argparse.ArgumentParser(prog='python -m bench.micro.processes')
    parser.add_argument('--users', type=int, default=30)
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--profile', type=Path, help='a folder for profiles')
    options = parser.parse_args(arguments)
    python_options: tuple[str, ...] = ()
    if options.profile is not None:
        options.profile.mkdir(parents=True, exist_ok=True)
        python_options = (
            '-m',
            'cProfile',
            '-o',
            f'{options.profile}/{{name}}.prof',
        )
    with tempfile.TemporaryDirectory() as folder:
        lines = asyncio.run(
            measure(
                Path(folder), options.users, options.seconds, python_options
            )
        )
    print('\n'.join(lines))
    if options.profile is not None:
        _print_profiles(options.profile)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
