"""An adaptive limit on the slots in use."""

from dragonflyshift._internal.limits.circuit_breaker import CircuitBreaker

DECREASE_FACTOR = 0.7
RECOVERY_SLOTS_PER_SECOND = 0.2
DECREASE_INTERVAL_SECONDS = 0.1


class ConcurrencyLimit:
    """A concurrency limit with slow start and multiplicative decrease.

    The limit is multiplied by ``DECREASE_FACTOR`` when the backend server
    sheds load, and grows by one slot for as many successful responses as
    there are slots in use. It also grows with time, because an endpoint whose
    slots are held by long streams responds too rarely to recover otherwise.
    While the circuit breaker is open, no slot may be used.
    """

    def __init__(self, slots: int, slow_start: float, now: float) -> None:
        """Begin slow start at ``now``; it lasts ``slow_start`` seconds."""
        self._slots = max(1, slots)
        self._slow_start = slow_start
        self._started_at = now
        self._limit = float(self._slots)
        self._changed_at = now
        self._shed_at: float | None = None
        self._breaker = CircuitBreaker()

    def capacity(self, now: float) -> int:
        """Return the current maximum of running requests."""
        if self._breaker.is_open(now):
            return 0
        self._recover_with_time(now)
        return max(1, min(int(self._limit), self._slow_start_capacity(now)))

    def record_shed(self, now: float) -> None:
        """Lower the limit, at most once per ``DECREASE_INTERVAL_SECONDS``."""
        self._recover_with_time(now)
        if self._breaker.record_failure(now):
            self._limit = 1
        last = self._shed_at
        if last is not None and now - last < DECREASE_INTERVAL_SECONDS:
            return
        self._shed_at = now
        self._limit = max(1, self._limit * DECREASE_FACTOR)

    def record_success(self, now: float) -> None:
        """Raise the limit by one slot per ``limit`` successful responses."""
        self._breaker.record_success(now)
        self._recover_with_time(now)
        self._increase_limit(1 / self._limit)

    def resize(self, slots: int) -> None:
        """Change the number of slots; scale the limit in proportion."""
        slots = max(1, slots)
        self._limit = max(1, self._limit * slots / self._slots)
        self._slots = slots

    def _slow_start_capacity(self, now: float) -> int:
        elapsed = now - self._started_at
        if elapsed >= self._slow_start:
            return self._slots
        share = max(0, elapsed) / self._slow_start
        return 1 + int((self._slots - 1) * share)

    def _recover_with_time(self, now: float) -> None:
        elapsed = max(0, now - self._changed_at)
        self._changed_at = now
        self._increase_limit(elapsed * RECOVERY_SLOTS_PER_SECOND)

    def _increase_limit(self, amount: float) -> None:
        self._limit = min(float(self._slots), self._limit + amount)
