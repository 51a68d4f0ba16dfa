"""Run the scenarios: ours and the naive version in turn.

Example:
    python -m bench --only steady,kill --seed 1 --out bench/results
"""

import argparse
import asyncio
import shlex
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

from attrs import evolve, frozen

from bench.scenario_figures import Figures
from bench.scenario_file import (
    DIRECTORY,
    Scenario,
    ScenarioError,
    load_scenarios,
)
from bench.scenario_limits import check_limits
from bench.scenario_report import Origin, write_results
from bench.scenario_run import VERSIONS, run_scenario
from bench.scenario_steps import check_steps
from dragonflyshift._internal.kernel.registry import load_modules

RESULTS = Path(__file__).resolve().parent / 'results'
STEP_MODULES = ('bench.scenario_faults',)
LIMIT_SECONDS = 720.0
USAGE_STATUS = 2
INCOMPLETE_STATUS = 3


@frozen
class Planned:
    """One run that is to be made."""

    scenario: Scenario
    version: str


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m bench',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--only',
        type=_split,
        default=(),
        help='names of scenarios with commas between',
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--scale', type=float, default=1.0)
    parser.add_argument(
        '--versions',
        type=_split,
        default=tuple(VERSIONS),
        help='ours, naive or both',
    )
    parser.add_argument('--seconds', type=float, help='of load in each run')
    parser.add_argument('--out', type=Path, default=RESULTS)
    parser.add_argument('--scenarios', type=Path, default=DIRECTORY)
    parser.add_argument(
        '--limit',
        type=float,
        default=LIMIT_SECONDS,
        help='seconds after which no further run is started',
    )
    return parser.parse_args(arguments)


def _split(text: str) -> tuple[str, ...]:
    return tuple(each for each in text.split(',') if each)


def plan_runs(cfg: argparse.Namespace) -> tuple[Planned, ...]:
    """List all runs; raise ScenarioError if one can't be made."""
    unknown = set(cfg.versions) - set(VERSIONS)
    if unknown:
        raise ScenarioError(f'no version {", ".join(sorted(unknown))}')
    planned: list[Planned] = []
    for scenario in load_scenarios(cfg.scenarios, cfg.only):
        fitted = scenario.scaled(cfg.scale)
        if cfg.seconds:
            fitted = fitted.lasting(cfg.seconds)
        check_steps(fitted)
        check_limits(fitted)
        planned.extend(Planned(fitted, each) for each in cfg.versions)
    return tuple(planned)


def perform(
    planned: Sequence[Planned],
    cfg: argparse.Namespace,
) -> Iterator[Figures]:
    """Make the runs one after another, within the limit of time."""
    began = time.monotonic()
    for number, each in enumerate(planned, 1):
        name = each.scenario.name
        if time.monotonic() - began > cfg.limit:
            print(f'{name} ({each.version}) not run: out of time')
            continue
        print(f'[{number}/{len(planned)}] {name}: {each.version}', flush=True)
        started = time.monotonic()
        figures = asyncio.run(
            run_scenario(each.scenario, each.version, cfg.seed),
        )
        spent = time.monotonic() - started
        print(f'  took {spent:.1f} s', flush=True)
        yield evolve(figures, spent_seconds=spent)


def main(arguments: Sequence[str]) -> int:
    """Run all and write the results; return the exit status."""
    cfg = parse_arguments(arguments)
    load_modules(STEP_MODULES)
    try:
        planned = plan_runs(cfg)
    except ScenarioError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return USAGE_STATUS
    runs: list[Figures] = []
    try:
        runs.extend(perform(planned, cfg))
    except KeyboardInterrupt:
        print('interrupted; all processes ended', file=sys.stderr)
    if not runs:
        return INCOMPLETE_STATUS
    texts = {each.scenario.name: each.scenario.text for each in planned}
    origin = Origin(
        shlex.join(('python', '-m', 'bench', *arguments)),
        cfg.seed,
        time.strftime('%Y-%m-%d %H:%M UTC', time.gmtime()),
    )
    print(write_results(cfg.out, runs, texts, origin))
    if len(runs) < len(planned):
        return INCOMPLETE_STATUS
    return int(any(each.failed for each in runs))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
