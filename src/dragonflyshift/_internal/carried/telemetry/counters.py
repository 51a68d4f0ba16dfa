"""Counters and latency histograms of a daemon, kept in memory.

They cost a dictionary access each; the text for the metrics address is made
only when somebody asks for it.
"""

__all__ = ('Counters',)

import bisect
from collections import defaultdict
from collections.abc import Callable

PREFIX = 'dragonflyshift'
# Upper bounds in seconds; they span a round trip to a client's time budget.
BUCKET_BOUNDS_S = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
)


class _Histogram:
    """Observations by bucket, the last one without a bound."""

    def __init__(self) -> None:
        self.buckets = [0 for _ in range(len(BUCKET_BOUNDS_S) + 1)]
        self.total: float = 0

    def observe(self, seconds: float) -> None:
        self.buckets[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        count = 0
        rows = []
        bounds = (*(str(bound) for bound in BUCKET_BOUNDS_S), '+Inf')
        for bound, seen in zip(bounds, self.buckets, strict=True):
            count += seen
            rows.append((bound, float(count)))
        return rows


class Counters:
    """Count and time by name.

    Example:
        >>> counters = Counters()
        >>> counters.incr('openings')
        >>> counters.counts['openings']
        1
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._histograms: defaultdict[str, _Histogram] = defaultdict(
            _Histogram,
        )
        self._gauges: dict[str, Callable[[], float]] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += count

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        self._histograms[name].observe(seconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a level that is read when somebody asks."""
        self._gauges[name] = read

    def exposition(self) -> bytes:
        """Return everything in the Prometheus text format."""
        # Imported when first asked: it would double the cost of a start.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(_Collector(self))  # type: ignore[arg-type]
        return bytes(generate_latest(registry))

    def collect(self) -> list[object]:
        """Return the metric families."""
        from prometheus_client import core

        families: list[object] = []
        for name, count in sorted(self.counts.items()):
            counter = core.CounterMetricFamily(f'{PREFIX}_{name}', name)
            counter.add_metric((), count)
            families.append(counter)
        for name, read in sorted(self._gauges.items()):
            gauge = core.GaugeMetricFamily(f'{PREFIX}_{name}', name)
            gauge.add_metric((), read())
            families.append(gauge)
        for name, seen in sorted(self._histograms.items()):
            histogram = core.HistogramMetricFamily(
                f'{PREFIX}_{name}_seconds',
                name,
            )
            histogram.add_metric((), seen.cumulative(), seen.total)
            families.append(histogram)
        return families


class _Collector:
    """Hand the families to the library."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> list[object]:
        return self._counters.collect()
