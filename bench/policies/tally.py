"""Counters of a simulated run, and the statistics derived from them."""

import statistics
from collections.abc import Sequence

from attrs import define, field, fields, frozen
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 3_600_000_000
LATENCY_DIGITS = 3
US_PER_SECOND = 1_000_000
MS_PER_US = 0.001


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)


@define
class RunCounters:
    """Counters of one run.

    ``whole`` requests start before the client's deadline, ``late`` ones
    after it. ``expired`` requests wait until the deadline. ``refused``
    requests are refused at once, ``wrongly_refused`` ones while some healthy
    endpoint has a free slot. ``failed`` requests run or are shed, and get no
    answer. ``idle_while_waiting`` is the integral over time, in slot-seconds,
    of free slots that a waiting request could use.
    """

    endpoints: int
    arrived: int = 0
    whole: int = 0
    late: int = 0
    expired: int = 0
    refused: int = 0
    wrongly_refused: int = 0
    failed: int = 0
    attempts: int = 0
    claims: int = 0
    offers: int = 0
    handed_over: int = 0
    idle_while_waiting: float = 0
    requests: list[int] = field(init=False)
    slot_seconds: list[float] = field(init=False)
    waits: HdrHistogram = field(init=False, factory=_histogram)
    latencies: HdrHistogram = field(init=False, factory=_histogram)

    def __attrs_post_init__(self) -> None:
        """Create one counter for each endpoint."""
        self.requests = [0 for _ in range(self.endpoints)]
        self.slot_seconds = [float(0) for _ in range(self.endpoints)]

    @property
    def ended(self) -> int:
        """Number of requests that have ended."""
        return (
            self.whole + self.late + self.expired + self.refused + self.failed
        )

    def record_run(self, endpoint: int, service_time: float) -> None:
        """Count an attempt that occupies a slot for ``service_time``."""
        self.attempts += 1
        self.requests[endpoint] += 1
        self.slot_seconds[endpoint] += service_time

    def record_answer(self, wait: float, latency: float) -> None:
        """Count a whole answer and record its times (seconds)."""
        self.whole += 1
        self.waits.record_value(max(1, int(wait * US_PER_SECOND)))
        self.latencies.record_value(max(1, int(latency * US_PER_SECOND)))


@frozen
class RunStatistics:
    """Statistics of one run; shares are fractions, times milliseconds."""

    whole: float
    refused: float
    wrongly_refused: float
    expired: float
    late: float
    failed: float
    unfinished: float
    attempts_per_request: float
    claims_per_request: float
    offers_per_request: float
    handed_over: float
    slot_seconds_max_to_mean: float
    slot_seconds_variation: float
    requests_max_to_mean: float
    requests_variation: float
    idle_while_waiting: float
    wait_p50_ms: float
    wait_p99_ms: float
    latency_p50_ms: float
    latency_p99_ms: float
    latency_p999_ms: float


def summarize(counters: RunCounters, seconds: float) -> RunStatistics:
    """Compute the statistics of a run that measured for ``seconds``."""
    arrived = max(1, counters.arrived)
    return RunStatistics(
        whole=counters.whole / arrived,
        refused=counters.refused / arrived,
        wrongly_refused=counters.wrongly_refused / arrived,
        expired=counters.expired / arrived,
        late=counters.late / arrived,
        failed=counters.failed / arrived,
        unfinished=(counters.arrived - counters.ended) / arrived,
        attempts_per_request=counters.attempts / arrived,
        claims_per_request=counters.claims / arrived,
        offers_per_request=counters.offers / arrived,
        handed_over=counters.handed_over / arrived,
        slot_seconds_max_to_mean=max_to_mean(counters.slot_seconds),
        slot_seconds_variation=variation(counters.slot_seconds),
        requests_max_to_mean=max_to_mean(counters.requests),
        requests_variation=variation(counters.requests),
        idle_while_waiting=counters.idle_while_waiting / seconds,
        wait_p50_ms=_quantile_ms(counters.waits, 50),
        wait_p99_ms=_quantile_ms(counters.waits, 99),
        latency_p50_ms=_quantile_ms(counters.latencies, 50),
        latency_p99_ms=_quantile_ms(counters.latencies, 99),
        latency_p999_ms=_quantile_ms(counters.latencies, 99.9),
    )


def max_to_mean(shares: Sequence[float]) -> float:
    """Return the largest share divided by the mean; 1 if all are equal."""
    mean = statistics.fmean(shares)
    return max(shares) / mean if mean else 1


def variation(shares: Sequence[float]) -> float:
    """Return the coefficient of variation; 0 if all are equal."""
    mean = statistics.fmean(shares)
    return statistics.pstdev(shares) / mean if mean else 0


def _quantile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) * MS_PER_US


def mean_statistics(runs: Sequence[RunStatistics]) -> RunStatistics:
    """Return the mean of each statistic over runs with different seeds."""
    names = [attribute.name for attribute in fields(RunStatistics)]
    return RunStatistics(
        **{
            name: statistics.fmean(getattr(run, name) for run in runs)
            for name in names
        }
    )
