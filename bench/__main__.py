"""Run scenarios against our version and the naive one in turn.

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

from bench.scenarios.figures import RunResult
from bench.scenarios.file import (
    DIRECTORY,
    Scenario,
    ScenarioError,
    load_scenarios,
)
from bench.scenarios.limits import check_limits
from bench.scenarios.report import Origin, write_results
from bench.scenarios.run import VERSIONS, run_scenario
from bench.scenarios.steps import check_steps
from dragonflyshift._internal.kernel.registry import load_modules

RESULTS = Path(__file__).resolve().parent / 'results'
STEP_MODULES = ('bench.scenarios.faults',)
LIMIT_SECONDS = 720.0
USAGE_STATUS = 2
INCOMPLETE_STATUS = 3


@frozen
class PlannedRun:
    """A scenario and the version to run it against."""

    scenario: Scenario
    version: str


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m bench',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--only',
        type=_split,
        default=(),
        help='comma-separated names of scenarios',
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--scale', type=float, default=1.0)
    parser.add_argument(
        '--versions',
        type=_split,
        default=tuple(VERSIONS),
        help='comma-separated versions: ours, naive',
    )
    parser.add_argument(
        '--seconds', type=float, help='duration of the load in each run'
    )
    parser.add_argument('--out', type=Path, default=RESULTS)
    parser.add_argument('--scenarios', type=Path, default=DIRECTORY)
    parser.add_argument(
        '--limit',
        type=float,
        default=LIMIT_SECONDS,
        help='seconds after which no further run starts',
    )
    return parser.parse_args(arguments)


def _split(text: str) -> tuple[str, ...]:
    return tuple(each for each in text.split(',') if each)


def plan_runs(cfg: argparse.Namespace) -> tuple[PlannedRun, ...]:
    """List all runs; raise ScenarioError if one is not possible."""
    unknown = set(cfg.versions) - set(VERSIONS)
    if unknown:
        raise ScenarioError(f'unknown version {", ".join(sorted(unknown))}')
    planned: list[PlannedRun] = []
    for scenario in load_scenarios(cfg.scenarios, cfg.only):
        adjusted = scenario.scaled(cfg.scale)
        if cfg.seconds:
            adjusted = adjusted.lasting(cfg.seconds)
        check_steps(adjusted)
        check_limits(adjusted)
        planned.extend(PlannedRun(adjusted, each) for each in cfg.versions)
    return tuple(planned)


def execute_runs(
    planned: Sequence[PlannedRun],
    cfg: argparse.Namespace,
) -> Iterator[RunResult]:
    """Run the scenarios one after another and yield their results.

    Skips those that would start after the time limit.
    """
    bench_started = time.monotonic()
    for number, each in enumerate(planned, 1):
        name = each.scenario.name
        if time.monotonic() - bench_started > cfg.limit:
            print(f'{name} ({each.version}) not run: out of time')
            continue
        print(f'[{number}/{len(planned)}] {name}: {each.version}', flush=True)
        started = time.monotonic()
        result = asyncio.run(
            run_scenario(each.scenario, each.version, cfg.seed),
        )
        spent = time.monotonic() - started
        print(f'  took {spent:.1f} s', flush=True)
        yield evolve(result, spent_seconds=spent)


def main(arguments: Sequence[str]) -> int:
    """Run all scenarios, write the results and return the exit status."""
    cfg = parse_arguments(arguments)
    load_modules(STEP_MODULES)
    try:
        planned = plan_runs(cfg)
    except ScenarioError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return USAGE_STATUS
    runs: list[RunResult] = []
    try:
        runs.extend(execute_runs(planned, cfg))
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
