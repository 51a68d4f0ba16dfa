"""An estimate of how often an endpoint releases a slot."""

# The weight of a new sample in the moving average.
SMOOTHING = 0.2
# Every sample but the first counts at most as MAX_RISE times the average plus
# MIN_RISE_SECONDS.
MAX_RISE = 4.0
MIN_RISE_SECONDS = 0.01


class SlotReleaseInterval:
    """A moving average of the seconds between two slot releases.

    Only periods with every slot taken are counted, because an idle endpoint
    finishes few requests but isn't slow. While no slot is released, the time
    since the last release is a lower bound of the estimate. Otherwise the
    estimate would stay too low when long streams hold the slots.
    """

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._interval: float | None = None
        self._interval_started_at: float | None = None

    def record_full(self, now: float) -> None:
        """Record that the last free slot was taken."""
        if self._interval_started_at is None:
            self._interval_started_at = now

    def record_free(self) -> None:
        """Record that a slot is free and no request waits for it."""
        self._interval_started_at = None

    def record_finish(self, now: float, has_waiting: bool) -> None:
        """Record that a request ended and released its slot.

        If requests wait for a slot, as ``has_waiting`` says, the next
        interval starts now.
        """
        if self._interval_started_at is not None:
            self._add_sample(max(0, now - self._interval_started_at))
        self._interval_started_at = now if has_waiting else None

    def interval(self, now: float) -> float:
        """Return the estimate in seconds, or zero without any sample."""
        known = self._interval or 0
        if self._interval_started_at is None:
            return known
        return max(known, now - self._interval_started_at)

    def estimate_wait(self, now: float, ahead: int) -> float:
        """Estimate the seconds until ``ahead`` + 1 slots are released."""
        # The time since the last release bounds the next interval only, so
        # the intervals after it use the average.
        return self.interval(now) + ahead * (self._interval or 0)

    def _add_sample(self, sample: float) -> None:
        if self._interval is None:
            self._interval = sample
        else:
            # Limits the effect of a single outlier, such as a process pause.
            bounded = min(sample, self._interval * MAX_RISE + MIN_RISE_SECONDS)
            self._interval += SMOOTHING * (bounded - self._interval)
