"""A circuit breaker for a failing backend server."""

import math

FAILURES_TO_OPEN = 5
FIRST_OPEN_SECONDS = 1.0
MAX_OPEN_SECONDS = 4.0


class CircuitBreaker:
    """Block requests to a server after several consecutive failures.

    A server that fails fast always has free slots, so without a breaker its
    sidecar would attract requests from its peers. While the breaker is open
    no request is sent to the server. After it closes, a single failure opens
    it again for twice the time, up to ``MAX_OPEN_SECONDS``, until a success
    resets it.
    """

    def __init__(self) -> None:
        """Create a closed breaker."""
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS
        self._open_until = -math.inf

    def record_failure(self, now: float) -> bool:
        """Record a failed request; return whether the breaker opens."""
        if self.is_open(now):
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return False
        self._open_until = now + self._open_seconds
        self._open_seconds = min(MAX_OPEN_SECONDS, self._open_seconds * 2)
        return True

    def record_success(self, now: float) -> None:
        """Record a successful response.

        A response that arrives while the breaker is open belongs to a request
        sent before it opened, so it doesn't show that the server has
        recovered, and is ignored.
        """
        if self.is_open(now):
            return
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS

    def is_open(self, now: float) -> bool:
        """Return whether requests to the server are blocked."""
        return now < self._open_until
