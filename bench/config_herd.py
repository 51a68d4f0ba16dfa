"""Simulate herds of readers at the design size before one platform.

Run ``python -m bench.config_herd [--json] [--seed N]``. Waits and spreads are
drawn by the daemons' own classes; a read takes a fixed time, and the platform
refuses what exceeds 2,000 reads in a second. Processor time isn't simulated:
see ``bench.config_cost``.
"""

import argparse
import heapq
import json
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence

import numpy as np
from attrs import asdict, define, field, frozen

from bench.config_documents import print_tables
from dragonflyshift._internal.config import PlatformRequestError
from dragonflyshift._internal.config.backoff import Backoff
from dragonflyshift._internal.config.pulls import CONCURRENT_PULLS, PullRound
from dragonflyshift._internal.config.watcher import MIN_WAIT_FRACTION

LIMIT = 2000
READ_S = 0.005
BALANCERS = 850
READERS = 6150
WATCH_WAIT_S = 30.0
OUTAGE_S = 60.0
REST_S = 120.0
START_S = 450.0
FEW_CHANGES = 5
P99 = 99
BUNDLES = 3
SERVICES = 810

Steps = Iterator[float]
Scenario = Callable[[PullRound, int], 'Simulation']
Refusal = PlatformRequestError('busy', context='', status=429, retry_after=1)
Outage = PlatformRequestError('down', context='', status=503)


@frozen
class Herd:
    """One simulated herd; times run from its cause."""

    case: str
    readers: int
    max_s: float
    p99_s: float
    reads: int
    peak_reads_a_second: int
    refused: int


@define
class Simulation:
    """A clock, the daemons' next steps and the platform."""

    rng: random.Random
    down_until: float = 0
    now: float = 0
    ready: list[float] = field(factory=list)
    seconds: Counter[int] = field(factory=Counter)
    refused: int = 0
    _steps: list[tuple[float, int, Steps]] = field(factory=list)
    _started: int = 0

    def start(self, steps: Steps, delay: float = 0) -> None:
        """Run a daemon's steps; each yields the seconds until the next."""
        self._started += 1
        entry = (self.now + delay, self._started, steps)
        heapq.heappush(self._steps, entry)

    def run(self, until: float) -> None:
        """Run all steps up to a time."""
        while self._steps and self._steps[0][0] <= until:
            entry = heapq.heappop(self._steps)
            self.now = entry[0]
            steps = entry[-1]
            delay = next(steps, None)
            if delay is not None:
                self.start(steps, delay)

    def read(self) -> PlatformRequestError | None:
        """Make a read; return the failure, if any."""
        self.seconds[int(self.now)] += 1
        if self.seconds[int(self.now)] > LIMIT:
            self.refused += 1
            return Refusal
        return Outage if self.now < self.down_until else None

    def read_surely(self, backoff: Backoff) -> Steps:
        """Read until the platform answers."""
        while failure := self.read():
            yield READ_S + backoff.next_delay(failure)
        yield READ_S

    def balance(self, attempt: PullRound, backoff: Backoff) -> Steps:
        """Read the index and a round of keys, and watch on."""
        yield from self.read_surely(backoff)
        yield from self.catch_up(attempt, is_already_spread=backoff.has_failed)

    def catch_up(self, attempt: PullRound, *, is_already_spread: bool) -> Steps:
        """Watch on and read a round of keys."""
        self.start(self.read_surely(Backoff(self.rng)))
        if not is_already_spread:
            yield attempt.choose_delay(self.rng)
        left = len(attempt.keys)
        waits = Backoff(self.rng)
        while left:
            failure: PlatformRequestError | None = None
            for _ in range(min(left, CONCURRENT_PULLS)):
                failure = self.read() or failure
                left -= failure is None
            if failure is not None:
                yield waits.next_delay(failure)
            yield READ_S
        self.ready.append(self.now)

    def attend(self, backoff: Backoff) -> Steps:
        """Read a sidecar's own document and watch on."""
        yield from self.read_surely(backoff)
        self.ready.append(self.now)

    def watch(self) -> Steps:
        """Watch what does not change."""
        while True:
            self.read()
            yield WATCH_WAIT_S * self.rng.uniform(MIN_WAIT_FRACTION, 1)

    def summarize(self, case: str, cause: float) -> Herd:
        """Return the figures of a herd that began at ``cause``."""
        times = np.array(self.ready) - cause
        last = int(max(self.ready))
        until_ready = [
            reads
            for second, reads in self.seconds.items()
            if int(cause) <= second <= last
        ]
        return Herd(
            case=case,
            readers=len(times),
            max_s=float(np.max(times)),
            p99_s=float(np.percentile(times, P99)),
            reads=sum(until_ready),
            peak_reads_a_second=max(self.seconds.values()),
            refused=self.refused,
        )


def simulate_change(attempt: PullRound, seed: int) -> Simulation:
    """Answer all balancers' watches of the index at once."""
    simulation = Simulation(random.Random(seed))
    add_resting(simulation, READERS - BALANCERS)
    for _ in range(BALANCERS):
        simulation.start(simulation.catch_up(attempt, is_already_spread=False))
    simulation.run(REST_S)
    return simulation


def simulate_start(attempt: PullRound, seed: int) -> Simulation:
    """Start all balancers at once, while the sidecars watch."""
    simulation = Simulation(random.Random(seed))
    add_resting(simulation, READERS - BALANCERS)
    for _ in range(BALANCERS):
        backoff = Backoff(simulation.rng)
        simulation.start(simulation.balance(attempt, backoff))
    simulation.run(START_S)
    return simulation


def simulate_outage(attempt: PullRound, seed: int) -> Simulation:
    """Let all readers lose the platform; the index changes meanwhile."""
    simulation = Simulation(random.Random(seed), down_until=OUTAGE_S)
    for reader in range(READERS):
        backoff = Backoff(simulation.rng)
        delay = backoff.next_delay(Outage)
        steps = (
            simulation.balance(attempt, backoff)
            if reader < BALANCERS
            else simulation.attend(backoff)
        )
        simulation.start(steps, delay)
    simulation.run(OUTAGE_S + REST_S)
    return simulation


def simulate_rest(_attempt: PullRound, seed: int) -> Simulation:
    """Let all readers watch; the time that it takes is that of the run."""
    simulation = Simulation(random.Random(seed))
    add_resting(simulation, READERS)
    simulation.run(REST_S)
    simulation.ready = [simulation.now]
    return simulation


def add_resting(simulation: Simulation, readers: int) -> None:
    """Add readers whose watches began at different times."""
    for _ in range(readers):
        delay = simulation.rng.uniform(0, WATCH_WAIT_S)
        simulation.start(simulation.watch(), delay)


def simulate(seed: int) -> list[Herd]:
    """Simulate every herd."""
    one = _build_round(1)
    few = _build_round(FEW_CHANGES)
    bundles = _build_round(BUNDLES, bundles=True)
    singles = _build_round(SERVICES)
    herds: tuple[tuple[str, Scenario, PullRound, float], ...] = (
        ('at rest', simulate_rest, one, 0),
        ('one change', simulate_change, one, 0),
        (f'{FEW_CHANGES} changes at once', simulate_change, few, 0),
        ('outage, one change', simulate_outage, one, OUTAGE_S),
        ('outage, bundles', simulate_outage, bundles, OUTAGE_S),
        ('all balancers start, bundles', simulate_start, bundles, 0),
        ('all balancers start, no bundles', simulate_start, singles, 0),
    )
    return [
        run(attempt, seed).summarize(case, cause)
        for case, run, attempt, cause in herds
    ]


def _build_round(reads: int, *, bundles: bool = False) -> PullRound:
    return PullRound([str(each) for each in range(reads)], bundles)


def main() -> None:
    """Simulate and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args()
    herds: Sequence[Herd] = simulate(args.seed)
    if args.json:
        rows = [asdict(herd) for herd in herds]
        print(json.dumps({'seed': args.seed, 'herds': rows}))
        return
    print_tables({'Simulated herds': herds})


if __name__ == '__main__':
    main()
