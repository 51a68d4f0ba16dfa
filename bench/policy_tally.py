"""What a run of the policy load counted, and the figures drawn from it."""

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
class Tally:
    """Counters of one run.

    ``whole`` requests started before their client gave up, ``late`` ones
    after it. ``expired`` ones waited until the deadline, ``refused`` ones
    were answered at once, ``wrongly_refused`` ones while a slot was free on
    some healthy endpoint. ``failed`` ones ran or were shed, and got no
    answer. ``idle_while_waiting`` is the integral over time, in slot-seconds,
    of free slots that a waiting request could have used.
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
        """Make one counter for each endpoint."""
        self.requests = [0 for _ in range(self.endpoints)]
        self.slot_seconds = [float(0) for _ in range(self.endpoints)]

    @property
    def ended(self) -> int:
        """The requests whose end was seen."""
        return (
            self.whole + self.late + self.expired + self.refused + self.failed
        )

    def note_run(self, endpoint: int, hold: float) -> None:
        """Count a slot held by one attempt."""
        self.attempts += 1
        self.requests[endpoint] += 1
        self.slot_seconds[endpoint] += hold

    def note_answer(self, wait: float, latency: float) -> None:
        """Count a whole answer, with its times in seconds."""
        self.whole += 1
        self.waits.record_value(max(1, int(wait * US_PER_SECOND)))
        self.latencies.record_value(max(1, int(latency * US_PER_SECOND)))


@frozen
class Figures:
    """The figures of one run; shares are parts of one, times milliseconds."""

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


def summarize(tally: Tally, seconds: float) -> Figures:
    """Draw the figures from a run of ``seconds``."""
    arrived = max(1, tally.arrived)
    return Figures(
        whole=tally.whole / arrived,
        refused=tally.refused / arrived,
        wrongly_refused=tally.wrongly_refused / arrived,
        expired=tally.expired / arrived,
        late=tally.late / arrived,
        failed=tally.failed / arrived,
        unfinished=(tally.arrived - tally.ended) / arrived,
        attempts_per_request=tally.attempts / arrived,
        claims_per_request=tally.claims / arrived,
        offers_per_request=tally.offers / arrived,
        handed_over=tally.handed_over / arrived,
        slot_seconds_max_to_mean=max_to_mean(tally.slot_seconds),
        slot_seconds_variation=variation(tally.slot_seconds),
        requests_max_to_mean=max_to_mean(tally.requests),
        requests_variation=variation(tally.requests),
        idle_while_waiting=tally.idle_while_waiting / seconds,
        wait_p50_ms=_quantile_ms(tally.waits, 50),
        wait_p99_ms=_quantile_ms(tally.waits, 99),
        latency_p50_ms=_quantile_ms(tally.latencies, 50),
        latency_p99_ms=_quantile_ms(tally.latencies, 99),
        latency_p999_ms=_quantile_ms(tally.latencies, 99.9),
    )


def max_to_mean(shares: Sequence[float]) -> float:
    """Return the largest share over the mean one; 1 is perfect balance."""
    mean = statistics.fmean(shares)
    return max(shares) / mean if mean else 1


def variation(shares: Sequence[float]) -> float:
    """Return the coefficient of variation; 0 is perfect balance."""
    mean = statistics.fmean(shares)
    return statistics.pstdev(shares) / mean if mean else 0


def _quantile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) * MS_PER_US


def mean_figures(runs: Sequence[Figures]) -> Figures:
    """Return the mean of each figure over runs with different seeds."""
    names = [attribute.name for attribute in fields(Figures)]
    return Figures(
        **{
            name: statistics.fmean(getattr(run, name) for run in runs)
            for name in names
        }
    )
