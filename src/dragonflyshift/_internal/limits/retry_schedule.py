"""Retry times for refused requests."""

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 60.0


class RetrySchedule:
    """Retry times that are spread so that one retry follows another.

    Clients that get the same retry time retry together, and all but one of
    them are refused again.
    """

    def __init__(self, now: float) -> None:
        """Create a schedule without reserved times."""
        self._last_at = now

    def reserve(self, now: float, wait: float, interval: float) -> float:
        """Return the seconds after which the refused client should retry.

        ``wait`` is the estimated time until a slot is free, ``interval`` the
        estimated time between two slot releases; both in seconds.
        """
        following = self._last_at + interval - now
        reserved = clamp_retry_after(max(wait, following))
        self._last_at = now + reserved
        return reserved


def clamp_retry_after(wait: float) -> float:
    """Clamp a retry time to the range that is sent to clients."""
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
