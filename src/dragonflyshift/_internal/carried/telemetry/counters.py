"""Counters and latency histograms of a daemon, kept in memory.

An update costs one dictionary access; the text for the metrics address is
built only on request.
"""

__all__ = ('Counters', 'load_exposition')

import bisect
import importlib
import sys
from collections import defaultdict
from collections.abc import Callable

METRIC_PREFIX = 'dragonflyshift'
# Upper bounds in seconds, from a round trip to a client's time budget.
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
    """Counts of observations by bucket; the last one has no upper bound."""

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
        for bound, bucket in zip(bounds, self.buckets, strict=True):
            count += bucket
            rows.append((bound, float(count)))
        return rows


class Counters:
    """Counters, gauges and histograms of durations, by name.

    Example:
        >>> counters = Counters()
        >>> counters.incr('openings')
        >>> counters.counts['openings']
        1
    """

    def __init__(self) -> None:
        """Create an empty set of metrics."""
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

    def gauge(self, name: str, read_value: Callable[[], float]) -> None:
        """Register a function that reads the value of a gauge on request."""
        self._gauges[name] = read_value

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        load_exposition()
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(_Collector(self))  # type: ignore[arg-type]
        return bytes(generate_latest(registry))

    def collect(self) -> list[object]:
        """Return the metrics as metric families of prometheus_client."""
        from prometheus_client import core

        families: list[object] = []
        for name, count in sorted(self.counts.items()):
            counter = core.CounterMetricFamily(f'{METRIC_PREFIX}_{name}', name)
            counter.add_metric((), count)
            families.append(counter)
        for name, read_value in sorted(self._gauges.items()):
            gauge = core.GaugeMetricFamily(f'{METRIC_PREFIX}_{name}', name)
            gauge.add_metric((), read_value())
            families.append(gauge)
        for name, durations in sorted(self._histograms.items()):
            histogram = core.HistogramMetricFamily(
                f'{METRIC_PREFIX}_{name}_seconds',
                name,
            )
            histogram.add_metric((), durations.cumulative(), durations.total)
            families.append(histogram)
        return families


def load_exposition() -> None:
    """Import the library that writes the exposition, unless it is loaded.

    It is imported on the first request for the metrics, as importing it at the
    start would double the cost of a start. It imports ``ssl``, which the
    programs that use ``Counters`` block during their start.
    """
    if sys.modules.get('ssl', sys) is None:
        sys.modules.pop('ssl')
    importlib.import_module('prometheus_client')


class _Collector:
    """Adapts ``Counters`` to the collectors of prometheus_client."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> list[object]:
        return self._counters.collect()
