"""Run a scenario and print how many of its requests succeeded."""

import argparse
import logging
import sys
from collections.abc import Sequence

from attrs import evolve

from bench.emulator.scenario import ScenarioError, load_scenario
from bench.emulator.simulation import run_scenario
from bench.emulator.statistics import WINDOW_S, Statistics, Window
from dragonflyshift._internal.carried.policies.admission import InTimeOnly
from dragonflyshift._internal.carried.policies.fair_share import FairShare
from dragonflyshift._internal.carried.policies.target_first import TargetFirst

USAGE_STATUS = 2
POLICIES = {
    policy.plugin_name: policy
    for policy in (InTimeOnly, TargetFirst, FairShare)
}


def main(arguments: Sequence[str]) -> int:
    """Run the scenario with each seed.

    Return 1 if a run reports a violation, 2 if the scenario can't be read, and
    0 otherwise.
    """
    parser = argparse.ArgumentParser(prog='python -m bench.emulator')
    parser.add_argument('scenario', help='a name, or the path of a file')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--windows', action='store_true')
    parser.add_argument(
        '--no-warmup-limit',
        action='store_true',
        help='drop the warm-up rate from the configuration',
    )
    parser.add_argument('--accounts', action='store_true')
    parser.add_argument(
        '--policy', choices=sorted(POLICIES), default='target-first'
    )
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    try:
        scenario = load_scenario(options.scenario)
    except ScenarioError as exc:
        sys.stderr.write(f'error: {exc}\n')
        return USAGE_STATUS
    if options.no_warmup_limit:
        fleet = evolve(scenario.fleet, warmup_per_s=0)
        scenario = evolve(scenario, fleet=fleet)
    broken = False
    for seed in range(options.seed, options.seed + options.seeds):
        statistics = run_scenario(scenario, seed, POLICIES[options.policy])
        _print_statistics(seed, statistics, with_windows=options.windows)
        if options.accounts:
            _print_accounts(statistics)
        broken = broken or bool(statistics.violations)
    return int(broken)


def _print_statistics(
    seed: int, statistics: Statistics, *, with_windows: bool
) -> None:
    print(
        f'seed {seed}: {_format_window(statistics.total())}, '
        f'worst {statistics.worst_worth():.3f}, cold flows '
        f'{statistics.cold_flows}, peak {statistics.cold_peak}'
    )
    if with_windows:
        for number in sorted(statistics.windows):
            line = _format_window(statistics.windows[number])
            print(f'  {number * WINDOW_S:5.1f} s  {line}')
    for violation in statistics.violations:
        print(f'  broken: {violation}')


def _print_accounts(statistics: Statistics) -> None:
    for (name, caller), window in sorted(statistics.accounts.items()):
        print(f'  {name}-{caller}  {_format_window(window)}')


def _format_window(window: Window) -> str:
    return (
        f'worth {window.worth:.3f}, sent {window.sent}, in time '
        f'{window.in_time}, late {window.late}, failed {window.failed}'
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
