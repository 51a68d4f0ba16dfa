"""How many of an endpoint's slots may be used at a moment."""

from dragonflyshift._internal.limits.breaker import Breaker

DECREASE_FACTOR = 0.7
RECOVERY_SLOTS_PER_SECOND = 0.2
DECREASE_INTERVAL_SECONDS = 0.1


class SlotWindow:
    """Slow start after a cold start, and a limit that follows shed load.

    The limit falls by a factor when the backend server sheds load, rises by
    one slot for each round of answers, and also rises with time: an endpoint
    whose slots are held by long streams answers too seldom to recover.
    Several failures in a row without an answer close all slots for a while.
    """

    def __init__(self, slots: int, slow_start: float, now: float) -> None:
        """Start cold at ``now``; reach all slots after ``slow_start`` s."""
        self._slots = max(1, slots)
        self._slow_start = slow_start
        self._started_at = now
        self._limit = float(self._slots)
        self._changed_at = now
        self._shed_at: float | None = None
        self._breaker = Breaker()

    def capacity(self, now: float) -> int:
        """Return the slots that may be used."""
        if self._breaker.is_open(now):
            return 0
        self._recover(now)
        return max(1, min(int(self._limit), self._ramp(now)))

    def shed(self, now: float) -> None:
        """Lower the limit, once for all refusals of the same moment."""
        self._recover(now)
        if self._breaker.failed(now):
            self._limit = 1
        last = self._shed_at
        if last is not None and now - last < DECREASE_INTERVAL_SECONDS:
            return
        self._shed_at = now
        self._limit = max(1, self._limit * DECREASE_FACTOR)

    def served(self, now: float) -> None:
        """Raise the limit by one slot for each round of answers."""
        self._breaker.succeeded(now)
        self._recover(now)
        self._raise(1 / self._limit)

    def resize(self, slots: int) -> None:
        """Apply a changed number of slots, keeping the share in use."""
        slots = max(1, slots)
        self._limit = max(1, self._limit * slots / self._slots)
        self._slots = slots

    def _ramp(self, now: float) -> int:
        elapsed = now - self._started_at
        if elapsed >= self._slow_start:
            return self._slots
        share = max(0, elapsed) / self._slow_start
        return 1 + int((self._slots - 1) * share)

    def _recover(self, now: float) -> None:
        elapsed = max(0, now - self._changed_at)
        self._changed_at = now
        self._raise(elapsed * RECOVERY_SLOTS_PER_SECOND)

    def _raise(self, amount: float) -> None:
        self._limit = min(float(self._slots), self._limit + amount)
