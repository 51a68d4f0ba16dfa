"""Load on the policies alone: ours, the naive ones and one common queue.

Example:
    python -m bench.policy_load --seed 1 --json policy-load.json
"""

import argparse
import json
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from attrs import asdict, evolve, frozen

from bench.policy_bound import CommonQueue
from bench.policy_model import Model
from bench.policy_sidecar import Fault, Options, Policies
from bench.policy_table import render_tables
from bench.policy_tally import Figures, Tally, mean_figures, summarize
from bench.policy_trace import Workload, build_trace
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
BOUND = 'common queue'
SYSTEMS = (OURS.label, NAIVE.label, BOUND)
SLOTS = (3, 4)
LOADS = (0.7, 0.95, 1.3)
FAULT_LOAD = 0.7
FAULTS = ('failing', 'shedding')


@frozen
class Scenario:
    """One load on one shape of service, with at most one fault."""

    slots: int
    load: float
    fault: str = 'none'

    @property
    def title(self) -> str:
        """Name the scenario for tables."""
        text = f'7 x {self.slots} slots, {self.load:.0%}'
        return text if self.fault == 'none' else f'{text}, {self.fault}'


@frozen
class Run:
    """The mean figures of one system in one scenario over the seeds."""

    scenario: str
    system: str
    seeds: tuple[int, ...]
    mean: Figures
    each: tuple[Figures, ...]


def build_scenarios() -> tuple[Scenario, ...]:
    """List the loads on both shapes, then the faults."""
    steady = [Scenario(slots, load) for slots in SLOTS for load in LOADS]
    faults = [Scenario(SLOTS[0], FAULT_LOAD, fault) for fault in FAULTS]
    return (*steady, *faults)


def measure(
    scenario: Scenario,
    system: str,
    cfg: argparse.Namespace,
    seed: int,
) -> Figures:
    """Run one system once and return its figures."""
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
    tally = _run(system, workload, options, cfg)
    return summarize(tally, cfg.seconds - options.warm_up)


def _run(
    system: str,
    workload: Workload,
    options: Options,
    cfg: argparse.Namespace,
) -> Tally:
    trace = build_trace(workload)
    if system == BOUND:
        common = CommonQueue(workload, options.queue_limit)
        return common.run(trace, options.warm_up)
    if system == NAIVE.label:
        return Model(workload, NAIVE, options).run(trace)
    ours = evolve(
        OURS,
        candidates=cfg.candidates,
        decision=cfg.decision,
        peers=cfg.peers,
        admission=cfg.admission,
    )
    return Model(workload, ours, options).run(trace)


def measure_all(cfg: argparse.Namespace) -> Iterator[Run]:
    """Yield the figures of each system in each scenario."""
    seeds = tuple(range(cfg.seed, cfg.seed + cfg.repeat))
    for scenario in build_scenarios():
        if cfg.only not in scenario.title:
            continue
        for system in cfg.systems:
            if system == BOUND and scenario.fault != 'none':
                continue
            each = tuple(measure(scenario, system, cfg, seed) for seed in seeds)
            mean = mean_figures(each)
            print(f'{scenario.title}: {system}', file=sys.stderr, flush=True)
            yield Run(scenario.title, system, seeds, mean, each)


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Read the command line; the policies of ``ours`` can be exchanged."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.policy_load',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeat', type=int, default=3, help='seeds in a row')
    parser.add_argument('--seconds', type=float, default=180)
    parser.add_argument('--refresh', type=float, default=1, help='view age, s')
    parser.add_argument('--claims', type=int, default=Options().claims)
    parser.add_argument(
        '--offers',
        action=argparse.BooleanOptionalAction,
        default=Options().has_offers,
    )
    parser.add_argument('--only', default='', help='part of a title')
    parser.add_argument('--systems', nargs='+', default=SYSTEMS)
    parser.add_argument('--timeouts', type=float, nargs='+', default=(5,))
    parser.add_argument('--locality', default=Locality.DATA_CENTER.value)
    parser.add_argument('--candidates', default=OURS.candidates)
    parser.add_argument('--decision', default=OURS.decision)
    parser.add_argument('--peers', default=OURS.peers)
    parser.add_argument('--admission', default=OURS.admission)
    parser.add_argument('--json', type=Path, help='where the results go')
    parser.add_argument('--markdown', type=Path, help='where the tables go')
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    """Run all scenarios; print the tables and write the results."""
    cfg = parse_arguments(arguments)
    load_modules(('bench.naive', 'bench.policy_alternatives'))
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
