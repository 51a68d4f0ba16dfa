"""Play a scenario and print what became of its requests."""

import argparse
import logging
import sys
from collections.abc import Sequence

from bench.emulator.scenario import ScenarioError, load_scenario
from bench.emulator.tally import WINDOW_S, Tally, Window
from bench.emulator.world import run_scenario

USAGE_STATUS = 2


def main(arguments: Sequence[str]) -> int:
    """Play each seed; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog='python -m bench.emulator')
    parser.add_argument('scenario', help='a name, or the path of a file')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--windows', action='store_true')
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    try:
        scenario = load_scenario(options.scenario)
    except ScenarioError as exc:
        sys.stderr.write(f'error: {exc}\n')
        return USAGE_STATUS
    broken = False
    for seed in range(options.seed, options.seed + options.seeds):
        tally = run_scenario(scenario, seed)
        _print(seed, tally, with_windows=options.windows)
        broken = broken or bool(tally.broken)
    return int(broken)


def _print(seed: int, tally: Tally, *, with_windows: bool) -> None:
    print(f'seed {seed}: {_line(tally.total())}, worst {tally.worst():.3f}')
    if with_windows:
        for number in sorted(tally.windows):
            line = _line(tally.windows[number])
            print(f'  {number * WINDOW_S:5.1f} s  {line}')
    for promise in tally.broken:
        print(f'  broken: {promise}')


def _line(window: Window) -> str:
    return (
        f'worth {window.worth:.3f}, sent {window.sent}, in time '
        f'{window.in_time}, late {window.late}, failed {window.failed}'
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
