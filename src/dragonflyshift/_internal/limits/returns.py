"""When refused clients shall come back."""

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 60.0


class ReturnTimes:
    """Let refused clients come back one after another.

    Clients that are told the same time come back together, and all but one
    of them in vain.
    """

    def __init__(self, now: float) -> None:
        """Start with no client to come back."""
        self._last_at = now

    def book(self, now: float, wait: float, interval: float) -> float:
        """Return the seconds that the next refused client shall wait.

        ``wait`` is the time until a slot should be free, ``interval`` the
        time between two of them.
        """
        following = self._last_at + interval - now
        booked = bounded_wait(max(wait, following))
        self._last_at = now + booked
        return booked


def bounded_wait(wait: float) -> float:
    """Keep a time to come back within bounds that a client may see."""
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
