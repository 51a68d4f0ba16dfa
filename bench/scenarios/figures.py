"""Results of one run, derived from the backend servers' journals."""

import bisect
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from attrs import Factory, define, frozen
from hdrh.histogram import HdrHistogram

from bench.policies.tally import max_to_mean, variation
from bench.scenarios.stage import Leaving
from tests.lib.cluster import Instance
from tests.lib.journal import JournalEntry
from tests.lib.summary import ID_SEPARATOR, Refusal

MAX_LATENCY_US = 60_000_000
LATENCY_DIGITS = 3
US_PER_SECOND = 1_000_000
US_PER_MS = 1000
PER_THOUSAND = 1000
LONG_REQUEST_KINDS = frozenset(('board', 'export'))
PERCENTILES = (50.0, 90.0, 99.0, 100.0)


@frozen
class Balance:
    """How evenly load was spread over the untouched instances of a service.

    ``slots`` stands for slot-seconds, ``variation`` for the coefficient of
    variation.
    """

    service: str
    slots_max_to_mean: float
    slots_variation: float
    requests_max_to_mean: float
    requests_variation: float


@define
class RoleCost:
    """Processor shares and control bytes per second of one role.

    Shares are of one core. They cover the daemons of the role that ran from
    the beginning of the run to its end.
    """

    daemons: int = 0
    rest_mean: float = 0
    rest_max: float = 0
    load_mean: float = 0
    load_max: float = 0
    control_rest_mean: float = 0
    control_load_mean: float = 0
    control_load_max: float = 0


@define
class RunResult:
    """Results of one run; latencies are in milliseconds.

    ``unended`` is set if some requests were still open when the run ended.
    A request counts as ``wrongly_refused`` only if, according to its
    journal, some untouched instance of the service had a free slot from
    before the request was sent until after the refusal arrived. The count
    is therefore a lower bound.
    """

    scenario: str
    version: str
    seed: int
    seconds: float
    requests: int = 0
    whole: int = 0
    broken_flows: int = 0
    failed_handshakes: int = 0
    refused_not_run: int = 0
    wrongly_refused: int = 0
    unknown: int = 0
    refused_other: int = 0
    wrong_body: int = 0
    unended: bool = False
    run_twice: int = 0
    refused_but_ran: int = 0
    lost_saves: int = 0
    wrong_service: int = 0
    balance: list[Balance] = Factory(list)
    latency_ms: dict[str, list[float]] = Factory(dict)
    leave_seconds: list[float] = Factory(list)
    force_seconds: list[float] = Factory(list)
    never_in_force: int = 0
    costs: dict[str, RoleCost] = Factory(dict)
    client_share: float = 0
    load_average: float = 0
    problems: list[str] = Factory(list)
    spent_seconds: float = 0
    failed: bool = False

    @property
    def broken_ratio(self) -> float:
        """Broken flows per 1,000 requests."""
        return (
            PER_THOUSAND * self.broken_flows / self.requests
            if self.requests
            else 0
        )

    @property
    def imbalance(self) -> float:
        """Ratio of largest to mean slot-seconds in the worst service."""
        return max((each.slots_max_to_mean for each in self.balance), default=1)

    @property
    def variation(self) -> float:
        """Coefficient of variation of slot-seconds in the worst service."""
        return max((each.slots_variation for each in self.balance), default=0)

    @property
    def guarantee_violations(self) -> int:
        """Number of violations of guarantees, which should be zero."""
        return (
            self.run_twice
            + self.refused_but_ran
            + self.lost_saves
            + self.wrong_service
            + self.wrong_body
        )

    def percentile(self, percent: float) -> float:
        """Return a latency percentile (ms) of all short requests, or 0."""
        known = self.latency_ms.get('short')
        return known[PERCENTILES.index(percent)] if known else 0


def compare_instances(
    instances: Iterable[Instance],
    journal: Iterable[JournalEntry],
    until: float,
) -> list[Balance]:
    """Compare the load of instances, including those that ran nothing.

    Running requests count up to ``until`` (Unix seconds).
    """
    slot_seconds: Counter[str] = Counter()
    request_counts: Counter[str] = Counter()
    for entry in journal:
        seconds = max(0, (entry.ended or until) - entry.started)
        slot_seconds[entry.instance] += seconds  # type: ignore[assignment]  # a Counter also sums floats
        request_counts[entry.instance] += 1
    services: dict[str, list[str]] = {}
    for each in instances:
        services.setdefault(each.service, []).append(each.name)
    return [
        _compare(
            service,
            [slot_seconds[name] for name in names],
            request_counts,
            names,
        )
        for service, names in services.items()
    ]


def _compare(
    service: str,
    seconds: Sequence[float],
    request_counts: Mapping[str, int],
    names: Sequence[str],
) -> Balance:
    requests = [request_counts.get(name, 0) for name in names]
    return Balance(
        service,
        max_to_mean(seconds),
        variation(seconds),
        max_to_mean(requests),
        variation(requests),
    )


def count_wrongly_refused(
    refusals: Iterable[Refusal],
    instances: Iterable[Instance],
    journal: Sequence[JournalEntry],
) -> int:
    """Count refusals during which some instance always had a free slot."""
    usages: dict[str, list[SlotUsage]] = {}
    for each in instances:
        own = [entry for entry in journal if entry.instance == each.name]
        usage = SlotUsage(own, each.endpoint.slots)
        usages.setdefault(each.service, []).append(usage)
    return sum(
        any(
            usage.free_throughout(refusal.asked, refusal.answered)
            for usage in usages.get(refusal.service, ())
        )
        for refusal in refusals
    )


class SlotUsage:
    """Number of occupied slots of one instance over time."""

    def __init__(self, entries: Iterable[JournalEntry], slots: int) -> None:
        """Compute the slots in use after each start and end of a request."""
        changes = []
        for entry in entries:
            changes.append((entry.started, 1))
            if entry.ended:
                changes.append((entry.ended, -1))
        changes.sort()
        self._slots = slots
        self._times = [when for when, _change in changes]
        self._taken = [0]
        for _when, change in changes:
            self._taken.append(self._taken[-1] + change)

    def free_throughout(self, since: float, until: float) -> bool:
        """Return whether a slot was free during the whole interval."""
        first = bisect.bisect_left(self._times, since)
        last = bisect.bisect_right(self._times, until)
        return max(self._taken[first : last + 1]) < self._slots


def last_start_delays(
    leavings: Iterable[Leaving],
    journal: Sequence[JournalEntry],
) -> list[float]:
    """Return seconds from each leaving to the start of the last request.

    The value is 0 if no request started after that.
    """
    found = []
    for leaving in leavings:
        delays = [
            entry.started - leaving.since
            for entry in journal
            if entry.instance == leaving.instance
        ]
        found.append(max((0, *delays)))
    return found


def latency_percentiles(
    seconds: Mapping[str, Sequence[float]],
) -> dict[str, list[float]]:
    """Return the ``PERCENTILES`` in milliseconds by kind of request.

    The key ``short`` combines all kinds except those in ``LONG_REQUEST_KINDS``.
    """
    by_kind = dict(sorted(seconds.items()))
    short: list[float] = []
    for name, numbers in by_kind.items():
        if name not in LONG_REQUEST_KINDS:
            short.extend(numbers)
    return {
        kind: _percentiles(samples)
        for kind, samples in {**by_kind, 'short': short}.items()
        if samples
    }


def load_entries(journal: Iterable[JournalEntry]) -> list[JournalEntry]:
    """Return the journal entries of requests that the load sent."""
    return [entry for entry in journal if ID_SEPARATOR in entry.id]


def _percentiles(samples: Iterable[float]) -> list[float]:
    histogram = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)
    for seconds in samples:
        histogram.record_value(max(1, round(seconds * US_PER_SECOND)))
    return [
        histogram.get_value_at_percentile(each) / US_PER_MS
        for each in PERCENTILES
    ]
