"""Measure what each mechanism is worth in the emulator's scenarios.

    python -m bench.ablation [--scenarios a,b] [--seeds 3] [--jobs 2]

Each scenario is run with all mechanisms, and again with one of them switched
off, with the same seeds. The results are kept in a file, and a run that was
interrupted goes on where it stopped. The table shows the mean worth of a run
and, for each mechanism, the mean of the paired differences with its standard
error. A negative difference is what the mechanism is worth; ``!`` marks a
scenario in which a guarantee breaks without it.
"""

import argparse
import json
import logging
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from itertools import product
from pathlib import Path
from statistics import mean, stdev

from attrs import asdict, frozen
from cleo.io.outputs.stream_output import StreamOutput
from cleo.ui.progress_bar import ProgressBar

from bench.ablation_switches import MECHANISMS
from bench.emulator.scenario import ScenarioError, load_scenario
from bench.emulator.simulation import run_scenario

SCENARIOS = (
    'power-loss',
    'power-loss-open-flows',
    'power-loss-single-slot',
    'burst-small',
    'slow-servers',
    'errors-behind-health',
    'cold-return',
    'route-moves',
)
RESULTS = Path(__file__).resolve().parent / 'results' / 'ablation.jsonl'
USAGE_STATUS = 2
ALL = 'all mechanisms'
_BY_NAME = {mechanism.name: mechanism for mechanism in MECHANISMS}


@frozen(order=True)
class Run:
    """A scenario with a seed, without the mechanism of that name."""

    scenario: str
    without: str
    seed: int


@frozen
class Outcome:
    """The result of a run, with the number of broken guarantees."""

    run: Run
    worth: float
    in_time: int
    late: int
    failed: int
    broken: int


def play(run: Run) -> Outcome:
    """Run a scenario in the emulator."""
    logging.disable(logging.CRITICAL)
    scenario = load_scenario(run.scenario)
    if run.without == ALL:
        statistics = run_scenario(scenario, run.seed)
    else:
        with _BY_NAME[run.without].disabled():
            statistics = run_scenario(scenario, run.seed)
    total = statistics.total()
    return Outcome(
        run,
        total.worth,
        total.in_time,
        total.late,
        total.failed,
        len(statistics.violations),
    )


def read_outcomes(path: Path) -> dict[Run, Outcome]:
    """Read the outcomes of earlier runs; a cut-off last line is left out."""
    outcomes = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        try:
            body = json.loads(line)
        except ValueError:
            continue
        outcome = Outcome(**{**body, 'run': Run(**body['run'])})
        outcomes[outcome.run] = outcome
    return outcomes


def format_table(
    outcomes: dict[Run, Outcome], scenarios: Sequence[str], seeds: int
) -> Iterable[str]:
    """Return the table's lines: a column for each scenario."""
    yield ' | '.join(('mechanism', *scenarios))
    cells = [_mean_worth(outcomes, name, seeds) for name in scenarios]
    yield ' | '.join((ALL, *cells))
    for mechanism in MECHANISMS:
        cells = [
            _difference(outcomes, name, mechanism.name, seeds)
            for name in scenarios
        ]
        yield ' | '.join((f'without {mechanism.name}', *cells))


def main(arguments: Sequence[str]) -> int:
    """Run what isn't in the file of results yet, and print the table.

    Return 2 if a scenario can't be read, and 0 otherwise.
    """
    parser = argparse.ArgumentParser(prog='python -m bench.ablation')
    parser.add_argument('--scenarios', default=','.join(SCENARIOS))
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--results', type=Path, default=RESULTS)
    options = parser.parse_args(arguments)
    scenarios = options.scenarios.split(',')
    try:
        for name in scenarios:
            load_scenario(name)
    except ScenarioError as exc:
        sys.stderr.write(f'error: {exc}\n')
        return USAGE_STATUS
    outcomes = read_outcomes(options.results)
    runs = [
        Run(*each)
        for each in product(scenarios, (ALL, *_BY_NAME), _range(options.seeds))
    ]
    missing = [run for run in runs if run not in outcomes]
    outcomes.update(_play_all(missing, options.results, options.jobs))
    print('\n'.join(format_table(outcomes, scenarios, options.seeds)))
    return 0


def _play_all(runs: Sequence[Run], path: Path, jobs: int) -> dict[Run, Outcome]:
    path.parent.mkdir(parents=True, exist_ok=True)
    bar = ProgressBar(StreamOutput(sys.stderr), len(runs))
    outcomes = {}
    with ProcessPoolExecutor(jobs) as pool, path.open('a') as results:
        for done in as_completed([pool.submit(play, run) for run in runs]):
            outcome = done.result()
            outcomes[outcome.run] = outcome
            results.write(f'{json.dumps(asdict(outcome))}\n')
            results.flush()
            bar.advance()
    sys.stderr.write('\n')
    return outcomes


def _mean_worth(outcomes: dict[Run, Outcome], scenario: str, seeds: int) -> str:
    worths = [
        outcomes[Run(scenario, ALL, seed)].worth for seed in _range(seeds)
    ]
    return f'{mean(worths):.4f}'


def _difference(
    outcomes: dict[Run, Outcome], scenario: str, without: str, seeds: int
) -> str:
    differences = []
    broken = 0
    for seed in _range(seeds):
        outcome = outcomes[Run(scenario, without, seed)]
        complete = outcomes[Run(scenario, ALL, seed)]
        differences.append(outcome.worth - complete.worth)
        broken += outcome.broken > complete.broken
    error = stdev(differences) / len(differences) ** 0.5 if seeds > 1 else 0
    return f'{mean(differences):+.4f} ± {error:.4f}{"!" if broken else ""}'


def _range(seeds: int) -> range:
    return range(1, seeds + 1)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
