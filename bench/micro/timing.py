"""Options, timing and reports of the micro-benchmarks."""

import argparse
import collections
import json
import statistics
import time
from collections.abc import Callable, Mapping, Sequence

from attrs import AttrsInstance, asdict, frozen

US_PER_S = 1_000_000
REPEATS = 5


@frozen
class Options:
    """Command-line options that all micro-benchmarks accept."""

    json: bool
    seed: int


def parse_options(description: str, argv: Sequence[str] | None) -> Options:
    """Parse ``--json`` and ``--seed``."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument('--seed', type=int, default=1, help='random seed')
    parsed = parser.parse_args(argv)
    return Options(parsed.json, parsed.seed)


def median_us(call: Callable[[], object], rounds: int = 1) -> float:
    """Return the processor time of one call in microseconds.

    The time is the median of ``REPEATS`` samples of ``rounds`` calls each.
    """
    samples: list[float] = []
    while len(samples) < REPEATS:
        started = time.process_time()
        collections.deque(
            (call() for _round in range(rounds)),
            maxlen=0,
        )
        samples.append((time.process_time() - started) / rounds)
    return statistics.median(samples) * US_PER_S


def show(
    options: Options,
    report: Mapping[str, Sequence[AttrsInstance]],
) -> None:
    """Print the rows of each section, as JSON or as aligned columns."""
    sections = {
        name: [asdict(row) for row in rows] for name, rows in report.items()
    }
    if options.json:
        print(json.dumps({'seed': options.seed, **sections}))
        return
    for name, rows in sections.items():
        print(f'# {name}')
        print('  '.join(f'{key:>16}' for key in rows[0]))
        for row in rows:
            print(
                '  '.join(f'{_format_cell(cell):>16}' for cell in row.values())
            )


def _format_cell(cell: object) -> str:
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)
