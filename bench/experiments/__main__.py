"""Play an experiment and print the paired differences of its arms.

    python -m bench.experiments PLAN [--jobs 2] [--results FILE]
        [--bench PROGRAM --sites FOLDER --work FOLDER]
        [--against FILE] [--plot FILE]

PLAN is a TOML file, or the name of one in ``bench/experiments/plans``. Results
are kept in a file, and an interrupted experiment goes on where it stopped.

Return 0, 1 if a result is worse than in the file ``--against`` beyond its
interval, and 2 if the plan can't be read or a play fails.
"""

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import as_completed
from pathlib import Path

from cleo.io.outputs.stream_output import StreamOutput
from cleo.ui.progress_bar import ProgressBar

from bench.experiments.plan import (
    Experiment,
    ExperimentError,
    Play,
    load_experiment,
)
from bench.experiments.players import BenchPlayer, EmulatorPlayer, Player
from bench.experiments.report import format_table, plot, worsened
from bench.experiments.results import PlayResult, ResultFile

PLANS = Path(__file__).resolve().parent / 'plans'
RESULTS = Path(__file__).resolve().parents[1] / 'results'
WORSE_STATUS = 1
USAGE_STATUS = 2


def main(arguments: Sequence[str]) -> int:
    """Play what the file of results lacks, and print the table."""
    options = _parse(arguments)
    path = Path(options.plan)
    if path.suffix != '.toml':
        path = PLANS / f'{options.plan}.toml'
    try:
        plan = load_experiment(path)
        player = _create_player(plan, options)
        player.check(plan)
        result_file = ResultFile(
            options.results or RESULTS / f'{path.stem}.jsonl'
        )
        results = play_missing(plan, player, result_file, options.jobs)
    except ExperimentError as exc:
        sys.stderr.write(f'error: {exc}\n')
        return USAGE_STATUS
    print('\n'.join(format_table(plan, results)))
    if options.plot:
        plot(plan, results, options.plot)
    if options.against is None:
        return 0
    lines = list(worsened(plan, results, ResultFile(options.against).read()))
    for line in lines:
        print(f'worse: {line}')
    return WORSE_STATUS if lines else 0


def play_missing(
    plan: Experiment, player: Player, result_file: ResultFile, jobs: int
) -> dict[Play, PlayResult]:
    """Play what the file lacks; return the results of all plays.

    Raises ExperimentError if a play fails. The results before it are kept.
    """
    results = result_file.read()
    missing = [play for play in plan.plays() if play not in results]
    if not missing:
        return results
    bar = ProgressBar(StreamOutput(sys.stderr), len(missing))
    with player.create_executor(jobs) as executor:
        futures = [
            executor.submit(player.play, plan.arm(play.arm), play)
            for play in missing
        ]
        try:
            for done in as_completed(futures):
                result_file.append(done.result())
                bar.advance()
        except BaseException:
            executor.shutdown(wait=False, cancel_futures=True)
            raise
    sys.stderr.write('\n')
    return result_file.read()


def _create_player(plan: Experiment, options: argparse.Namespace) -> Player:
    if plan.player == 'emulator':
        return EmulatorPlayer()
    if plan.player != 'bench':
        raise ExperimentError(f'unknown player: {plan.player}')
    if not (options.bench and options.sites and options.work):
        raise ExperimentError(
            'this plan needs the options --bench, --sites and --work'
        )
    return BenchPlayer(options.bench, options.sites, options.work)


def _parse(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='python -m bench.experiments')
    parser.add_argument('plan', help='a name, or the path of a file')
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--results', type=Path)
    parser.add_argument('--bench', type=Path, help="the users' bench program")
    parser.add_argument('--sites', type=Path, help='the folder of site files')
    parser.add_argument('--work', type=Path, help='the folder for clones')
    parser.add_argument('--against', type=Path, help='results to compare with')
    parser.add_argument('--plot', type=Path)
    return parser.parse_args(arguments)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
