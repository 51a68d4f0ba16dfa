"""Measures the time of a candidate choice by number of endpoints.

Example:
    python -m bench.policies.rank
"""

import timeit
from functools import partial

from dragonflyshift._internal.models import Address, Endpoint
from dragonflyshift._internal.routing import Candidate, Rendezvous, RoutingScope

SIZES = (3, 7, 20, 50)
CALLS = 5000
US_PER_SECOND = 1_000_000
SCOPE = RoutingScope('adama', 'oromia')


def build_view(size: int) -> tuple[Candidate, ...]:
    """Build candidates in one data centre."""
    return tuple(
        Candidate(
            Endpoint(
                name=f'parts-{number}',
                address=Address('192.0.2.1', 1000 + number),
                data_center=SCOPE.data_center,
                region=SCOPE.region,
                slots=4,
            ),
        )
        for number in range(size)
    )


def measure_us(size: int, calls: int = CALLS) -> float:
    """Return the microseconds per call on a view that was ranked before.

    This is the minimum of three measurements.
    """
    choice = Rendezvous()
    rank = partial(choice.rank, b'flow-key', build_view(size), SCOPE)
    rank()
    timer = timeit.Timer(rank)
    return min(timer.repeat(3, calls)) / calls * US_PER_SECOND


def main() -> None:
    """Print a table of times by number of endpoints."""
    print('| endpoints | us a choice |')
    print('| --- | --- |')
    for size in SIZES:
        print(f'| {size} | {measure_us(size):.1f} |')


if __name__ == '__main__':
    main()
