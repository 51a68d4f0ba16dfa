"""A circuit breaker for a backend server that answers nothing."""

import math

FAILURES_TO_OPEN = 5
FIRST_OPEN_SECONDS = 1.0
MAX_OPEN_SECONDS = 4.0


class Breaker:
    """Stop using a backend server that failed several times in a row.

    A server that fails fast always has free slots, so without this it would
    draw requests from its peers. While the breaker is open no request goes
    to the server. After that the next failure opens it again, for twice the
    time up to a bound, until an answer shows that the server works.
    """

    def __init__(self) -> None:
        """Start closed."""
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS
        self._open_until = -math.inf

    def failed(self, now: float) -> bool:
        """Take note of a failed request; tell whether the breaker opens."""
        if self.is_open(now):
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return False
        self._open_until = now + self._open_seconds
        self._open_seconds = min(MAX_OPEN_SECONDS, self._open_seconds * 2)
        return True

    def succeeded(self, now: float) -> None:
        """Take note of an answer.

        One that comes while the breaker is open was asked for before, and
        doesn't tell that the server works again.
        """
        if self.is_open(now):
            return
        self._failures = 0
        self._open_seconds = FIRST_OPEN_SECONDS

    def is_open(self, now: float) -> bool:
        """Tell whether no request may go to the server."""
        return now < self._open_until
