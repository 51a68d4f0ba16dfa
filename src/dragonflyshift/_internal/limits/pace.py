"""The measured pace at which an endpoint frees its slots."""

SMOOTHING = 0.2
MAX_RISE = 4.0
MIN_RISE_SECONDS = 0.01


class Pace:
    """Estimate the seconds between two slots that come free.

    Only times with every slot taken are counted: an idle endpoint finishes
    few requests but isn't slow. While no slot comes free, the time since the
    last one is a lower bound of the estimate, so that slots which are held
    by long streams don't look quick.
    """

    def __init__(self) -> None:
        """Start without an estimate."""
        self._interval: float | None = None
        self._full_since: float | None = None

    def note_full(self, now: float) -> None:
        """Take note that the last free slot was taken."""
        if self._full_since is None:
            self._full_since = now

    def note_free(self) -> None:
        """Take note that a slot is free and nobody waits for it."""
        self._full_since = None

    def note_finish(self, now: float, still_full: bool) -> None:
        """Take note that a request ended and gave its slot back."""
        if self._full_since is not None:
            self._add(max(0, now - self._full_since))
        self._full_since = now if still_full else None

    def interval(self, now: float) -> float:
        """Return the estimate in seconds; zero while nothing was seen."""
        known = self._interval or 0
        if self._full_since is None:
            return known
        return max(known, now - self._full_since)

    def wait(self, now: float, ahead: int) -> float:
        """Estimate the seconds until a slot is free behind ``ahead``."""
        # The time since the last free slot tells of the next one only.
        return self.interval(now) + ahead * (self._interval or 0)

    def _add(self, seen: float) -> None:
        if self._interval is None:
            self._interval = seen
        else:
            # One gap, such as a pause of the process, must not rule for long.
            bounded = min(seen, self._interval * MAX_RISE + MIN_RISE_SECONDS)
            self._interval += SMOOTHING * (bounded - self._interval)
