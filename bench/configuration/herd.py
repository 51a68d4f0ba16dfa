"""Simulate thundering herds of readers on one platform.

Run ``python -m bench.configuration.herd [--json] [--seed N]``. The numbers of
readers are those of the design. The daemons' own classes draw the backoff
and spreading delays; a read takes a fixed time, and the platform refuses
reads above 2,000 in a second. Processor time isn't simulated: see
``bench.configuration.cost``.
"""

import argparse
import heapq
import json
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence

import numpy as np
from attrs import asdict, define, field, frozen

from bench.configuration.documents import print_tables
from dragonflyshift._internal.config import PlatformRequestError
from dragonflyshift._internal.config.backoff import Backoff
from dragonflyshift._internal.config.pulls import CONCURRENT_PULLS, PullRound
from dragonflyshift._internal.config.watcher import MIN_WAIT_FRACTION

MAX_READS_PER_SECOND = 2000
READ_S = 0.005
BALANCERS = 850
READERS = 6150
WATCH_WAIT_S = 30.0
OUTAGE_S = 60.0
RUN_S = 120.0
START_RUN_S = 450.0
FEW_CHANGES = 5
P99 = 99
BUNDLES = 3
SERVICES = 810

Steps = Iterator[float]
Scenario = Callable[[PullRound, int], 'Simulation']
REFUSAL = PlatformRequestError('busy', context='', status=429, retry_after=1)
OUTAGE = PlatformRequestError('down', context='', status=503)


@frozen
class Herd:
    """Results of one simulated herd.

    ``max_s`` and ``p99_s`` are the seconds from its trigger until readers are
    ready. ``reads`` counts the reads from the trigger until the last reader
    is ready; ``peak_reads_a_second`` and ``refused`` cover the whole run.
    """

    case: str
    readers: int
    max_s: float
    p99_s: float
    reads: int
    peak_reads_a_second: int
    refused: int


@define
class Simulation:
    """An event queue of the daemons' steps and a rate-limited platform."""

    rng: random.Random
    down_until: float = 0
    now: float = 0
    ready_times: list[float] = field(factory=list)
    reads_by_second: Counter[int] = field(factory=Counter)
    refused: int = 0
    _steps: list[tuple[float, int, Steps]] = field(factory=list)
    _scheduled_count: int = 0

    def schedule(self, steps: Steps, delay: float = 0) -> None:
        """Schedule a daemon's steps; each yields the seconds until the next."""
        self._scheduled_count += 1
        entry = (self.now + delay, self._scheduled_count, steps)
        heapq.heappush(self._steps, entry)

    def run(self, until: float) -> None:
        """Run all steps that are due up to a simulated time, in seconds."""
        while self._steps and self._steps[0][0] <= until:
            entry = heapq.heappop(self._steps)
            self.now = entry[0]
            steps = entry[-1]
            delay = next(steps, None)
            if delay is not None:
                self.schedule(steps, delay)

    def read(self) -> PlatformRequestError | None:
        """Count a read; return its failure, or None if it succeeds."""
        self.reads_by_second[int(self.now)] += 1
        if self.reads_by_second[int(self.now)] > MAX_READS_PER_SECOND:
            self.refused += 1
            return REFUSAL
        return OUTAGE if self.now < self.down_until else None

    def read_with_retries(self, backoff: Backoff) -> Steps:
        """Repeat a read with backoff until it succeeds."""
        while failure := self.read():
            yield READ_S + backoff.next_delay(failure)
        yield READ_S

    def run_balancer(self, pull_round: PullRound, backoff: Backoff) -> Steps:
        """Run a starting balancer: read the index, then a round of keys."""
        yield from self.read_with_retries(backoff)
        yield from self.read_changed_keys(
            pull_round,
            is_already_spread=backoff.has_failed,
        )

    def read_changed_keys(
        self,
        pull_round: PullRound,
        *,
        is_already_spread: bool,
    ) -> Steps:
        """Renew the watch and read a round of keys.

        A spreading delay comes first, unless backoff has already spread the
        readers.
        """
        self.schedule(self.read_with_retries(Backoff(self.rng)))
        if not is_already_spread:
            yield pull_round.choose_delay(self.rng)
        remaining = len(pull_round.keys)
        backoff = Backoff(self.rng)
        while remaining:
            failure: PlatformRequestError | None = None
            for _ in range(min(remaining, CONCURRENT_PULLS)):
                failure = self.read() or failure
                remaining -= failure is None
            if failure is not None:
                yield backoff.next_delay(failure)
            yield READ_S
        self.ready_times.append(self.now)

    def run_sidecar(self, backoff: Backoff) -> Steps:
        """Run a sidecar until it has read its own document."""
        yield from self.read_with_retries(backoff)
        self.ready_times.append(self.now)

    def watch(self) -> Steps:
        """Repeat watches of an unchanged document."""
        while True:
            self.read()
            yield WATCH_WAIT_S * self.rng.uniform(MIN_WAIT_FRACTION, 1)

    def summarize(self, case: str, triggered_at: float) -> Herd:
        """Return the results of a herd triggered at a simulated time."""
        times = np.array(self.ready_times) - triggered_at
        last = int(max(self.ready_times))
        until_ready = [
            reads
            for second, reads in self.reads_by_second.items()
            if int(triggered_at) <= second <= last
        ]
        return Herd(
            case=case,
            readers=len(times),
            max_s=float(np.max(times)),
            p99_s=float(np.percentile(times, P99)),
            reads=sum(until_ready),
            peak_reads_a_second=max(self.reads_by_second.values()),
            refused=self.refused,
        )


def simulate_change(pull_round: PullRound, seed: int) -> Simulation:
    """Simulate an index change that completes all balancers' watches."""
    simulation = Simulation(random.Random(seed))
    add_idle_readers(simulation, READERS - BALANCERS)
    for _ in range(BALANCERS):
        simulation.schedule(
            simulation.read_changed_keys(pull_round, is_already_spread=False),
        )
    simulation.run(RUN_S)
    return simulation


def simulate_start(pull_round: PullRound, seed: int) -> Simulation:
    """Simulate all balancers starting at once, while the sidecars watch."""
    simulation = Simulation(random.Random(seed))
    add_idle_readers(simulation, READERS - BALANCERS)
    for _ in range(BALANCERS):
        backoff = Backoff(simulation.rng)
        simulation.schedule(simulation.run_balancer(pull_round, backoff))
    simulation.run(START_RUN_S)
    return simulation


def simulate_outage(pull_round: PullRound, seed: int) -> Simulation:
    """Simulate an outage for all readers, during which the index changes."""
    simulation = Simulation(random.Random(seed), down_until=OUTAGE_S)
    for reader in range(READERS):
        backoff = Backoff(simulation.rng)
        delay = backoff.next_delay(OUTAGE)
        steps = (
            simulation.run_balancer(pull_round, backoff)
            if reader < BALANCERS
            else simulation.run_sidecar(backoff)
        )
        simulation.schedule(steps, delay)
    simulation.run(OUTAGE_S + RUN_S)
    return simulation


def simulate_idle(_pull_round: PullRound, seed: int) -> Simulation:
    """Simulate watches without changes.

    The time of the last step is recorded in place of the times at which
    readers are ready.
    """
    simulation = Simulation(random.Random(seed))
    add_idle_readers(simulation, READERS)
    simulation.run(RUN_S)
    simulation.ready_times = [simulation.now]
    return simulation


def add_idle_readers(simulation: Simulation, readers: int) -> None:
    """Add readers whose watches start at random times."""
    for _ in range(readers):
        delay = simulation.rng.uniform(0, WATCH_WAIT_S)
        simulation.schedule(simulation.watch(), delay)


def simulate(seed: int) -> list[Herd]:
    """Simulate all cases and return their results."""
    one_key = _build_round(1)
    few_keys = _build_round(FEW_CHANGES)
    all_bundles = _build_round(BUNDLES, bundles=True)
    all_services = _build_round(SERVICES)
    herds: tuple[tuple[str, Scenario, PullRound, float], ...] = (
        ('at rest', simulate_idle, one_key, 0),
        ('one change', simulate_change, one_key, 0),
        (f'{FEW_CHANGES} changes at once', simulate_change, few_keys, 0),
        ('outage, one change', simulate_outage, one_key, OUTAGE_S),
        ('outage, bundles', simulate_outage, all_bundles, OUTAGE_S),
        ('all balancers start, bundles', simulate_start, all_bundles, 0),
        ('all balancers start, no bundles', simulate_start, all_services, 0),
    )
    return [
        run(pull_round, seed).summarize(case, triggered_at)
        for case, run, pull_round, triggered_at in herds
    ]


def _build_round(reads: int, *, bundles: bool = False) -> PullRound:
    return PullRound([str(each) for each in range(reads)], bundles)


def main() -> None:
    """Simulate and print a Markdown table or JSON."""
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
