"""Estimate of the time from a request to the first byte of its answer."""

__all__ = ('ServiceTimeEstimator',)

from attrs import define, field

DEFAULT_SERVICE_MS = 50.0
SMOOTHING = 0.1
MIN_SERVICE_MS = 2.0
MAX_SERVICE_MS = 2000.0
MS_PER_S = 1000
# After this many first answers that all took the minimum at most, the estimate
# is the minimum. The default would hide a server that fails from its start from
# the balancers' comparison for ten more answers.
MINIMAL_ANSWERS = 3


@define(eq=False, repr=False)
class ServiceTimeEstimator:
    """Exponentially smoothed mean of the service time in milliseconds.

    Requests that still run count with the time that they have run so far, so
    that the estimate rises before a server that has become slow answers.
    """

    _mean_ms: float = field(default=DEFAULT_SERVICE_MS)
    _count: int = field(default=0)
    _minimal_count: int = field(default=0)

    def record(self, service_s: float) -> None:
        """Add the service time of an answered request, in seconds."""
        sample_ms = min(
            MAX_SERVICE_MS,
            max(MIN_SERVICE_MS, service_s * MS_PER_S),
        )
        self._count += 1
        weight = max(SMOOTHING, 1 / (self._count + 1))
        self._mean_ms += weight * (sample_ms - self._mean_ms)
        self._minimal_count += sample_ms <= MIN_SERVICE_MS
        if self._minimal_count == self._count == MINIMAL_ANSWERS:
            self._mean_ms = MIN_SERVICE_MS

    def estimate_ms(self, oldest_running_s: float = 0) -> float:
        """Return the estimate, given how long the oldest request has run."""
        running_ms = oldest_running_s * MS_PER_S
        # A single request may take several times the mean by chance, so only
        # a quarter of its running time counts.
        return max(self._mean_ms, running_ms / 4)
