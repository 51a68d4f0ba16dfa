"""Simulates load on our policies, the naive ones and a common queue.

Example:
    python -m bench.policies.load --seed 1 --json policy-load.json
"""

import argparse
import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from attrs import asdict, evolve, frozen

from bench.policies.bound import CommonQueue
from bench.policies.model import Simulation
from bench.policies.sidecar import Fault, Options, Policies
from bench.policies.table import render_tables
from bench.policies.tally import (
    RunCounters,
    RunStatistics,
    mean_statistics,
    summarize,
)
from bench.policies.trace import Workload, build_trace
from dragonflyshift._internal.kernel.registry import load_modules
from dragonflyshift._internal.models import Locality

OURS = Policies(
    'ours',
    candidates='rendezvous',
    decision='least-loaded',
    peers='power-of-two',
    admission='adaptive',
    retries='budget',
)
NAIVE = Policies(
    'naive',
    candidates='modulo',
    decision='always',
    peers='none',
    admission='unbounded',
    retries='any-error',
)
COMMON_QUEUE = 'common queue'
SYSTEMS = (OURS.label, NAIVE.label, COMMON_QUEUE)
SLOTS = (3, 4)
LOADS = (0.7, 0.95, 1.3)
FAULT_LOAD = 0.7
FAULTS = ('failing', 'shedding')


@frozen
class Scenario:
    """A load, the slots per endpoint and at most one fault."""

    slots: int
    load: float
    fault: str = 'none'

    @property
    def title(self) -> str:
        """Title of the scenario in tables."""
        text = f'7 x {self.slots} slots, {self.load:.0%}'
        return text if self.fault == 'none' else f'{text}, {self.fault}'


@frozen
class Run:
    """Statistics of one system in one scenario: the mean and each seed's."""

    scenario: str
    system: str
    seeds: tuple[int, ...]
    mean: RunStatistics
    each: tuple[RunStatistics, ...]


def build_scenarios() -> tuple[Scenario, ...]:
    """Return the loads for each number of slots, then the faults."""
    steady = [Scenario(slots, load) for slots in SLOTS for load in LOADS]
    faults = [Scenario(SLOTS[0], FAULT_LOAD, fault) for fault in FAULTS]
    return (*steady, *faults)


def measure(
    scenario: Scenario,
    system: str,
    cfg: argparse.Namespace,
    seed: int,
) -> RunStatistics:
    """Run one system once and return its statistics."""
    workload = Workload(
        slots=scenario.slots,
        load=scenario.load,
        seed=seed,
        seconds=cfg.seconds,
        timeouts=tuple(cfg.timeouts),
    )
    options = Options(
        refresh=cfg.refresh,
        claims=cfg.claims,
        has_offers=cfg.offers,
        locality=Locality(cfg.locality),
        fault=Fault(scenario.fault, cfg.seconds / 3, cfg.seconds * 2 / 3),
    )
    counters = _run(system, workload, options, cfg)
    return summarize(counters, cfg.seconds - options.warm_up)


def _run(
    system: str,
    workload: Workload,
    options: Options,
    cfg: argparse.Namespace,
) -> RunCounters:
    trace = build_trace(workload)
    if system == COMMON_QUEUE:
        common = CommonQueue(workload, options.queue_limit)
        return common.run(trace, options.warm_up)
    if system == NAIVE.label:
        return Simulation(workload, NAIVE, options).run(trace)
    ours = evolve(
        OURS,
        candidates=cfg.candidates,
        decision=cfg.decision,
        peers=cfg.peers,
        admission=cfg.admission,
    )
    return Simulation(workload, ours, options).run(trace)


def measure_all(cfg: argparse.Namespace) -> Iterator[Run]:
    """Yield the statistics of each system in each scenario."""
    seeds = tuple(range(cfg.seed, cfg.seed + cfg.repeat))
    for scenario in build_scenarios():
        if cfg.only not in scenario.title:
            continue
        for system in cfg.systems:
            if system == COMMON_QUEUE and scenario.fault != 'none':
                continue
            each = tuple(measure(scenario, system, cfg, seed) for seed in seeds)
            mean = mean_statistics(each)
            print(f'{scenario.title}: {system}', file=sys.stderr, flush=True)
            yield Run(scenario.title, system, seeds, mean, each)


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the command line, which can replace the policies of ours."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.policies.load',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--repeat', type=int, default=3, help='number of consecutive seeds'
    )
    parser.add_argument('--seconds', type=float, default=180)
    parser.add_argument(
        '--refresh',
        type=float,
        default=1,
        help='refresh interval of views in seconds',
    )
    parser.add_argument('--claims', type=int, default=Options().claims)
    parser.add_argument(
        '--offers',
        action=argparse.BooleanOptionalAction,
        default=Options().has_offers,
    )
    parser.add_argument(
        '--only', default='', help='run scenarios whose title contains this'
    )
    parser.add_argument('--systems', nargs='+', default=SYSTEMS)
    parser.add_argument('--timeouts', type=float, nargs='+', default=(5,))
    parser.add_argument('--locality', default=Locality.DATA_CENTER.value)
    parser.add_argument('--candidates', default=OURS.candidates)
    parser.add_argument('--decision', default=OURS.decision)
    parser.add_argument('--peers', default=OURS.peers)
    parser.add_argument('--admission', default=OURS.admission)
    parser.add_argument('--json', type=Path, help='file for the results')
    parser.add_argument('--markdown', type=Path, help='file for the tables')
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    """Run all scenarios, print the tables and write the results."""
    cfg = parse_arguments(arguments)
    load_modules(('bench.naive', 'bench.policies.alternatives'))
    runs = tuple(measure_all(cfg))
    tables = render_tables(runs)
    print(tables)
    if cfg.markdown:
        cfg.markdown.write_text(f'{tables}\n')
    if cfg.json:
        text = json.dumps([asdict(run) for run in runs], indent=1)
        cfg.json.write_text(f'{text}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
