"""Detection of pauses of the process.

A process that was stopped, or whose host slept, wakes up with leases,
deadlines and views that may have lapsed. It must not act on them.
"""

import asyncio
import logging
import time
from collections.abc import Callable

TICKS_PER_LIMIT = 4

logger = logging.getLogger(__name__)


def suspended_seconds() -> float:
    """Return how long the host has slept since it started.

    The monotonic clock stands still while the host sleeps, and the boottime
    clock runs on. Without a boottime clock the result is zero.
    """
    boottime = getattr(time, 'CLOCK_BOOTTIME', None)
    if boottime is None:
        return 0
    return time.clock_gettime(boottime) - time.monotonic()


class PauseDetector:
    """Tell a pause from the time between two observations.

    ``limit`` is the longest time in seconds that is not yet a pause. It has
    to exceed the time between observations, and stay below the shortest
    lease or timeout that a pause could overrun.
    """

    def __init__(
        self,
        limit: float,
        suspended: Callable[[], float] = suspended_seconds,
    ) -> None:
        """Start without an observation."""
        self.limit = limit
        self._suspended = suspended
        self._seen_at: float | None = None
        self._seen_suspended = suspended()

    def observe(self, now: float) -> float:
        """Return the length in seconds of the pause just ended, or 0."""
        suspended = self._suspended()
        gap = suspended - self._seen_suspended
        if self._seen_at is not None:
            gap += now - self._seen_at
        self._seen_at = now
        self._seen_suspended = suspended
        return gap if gap > self.limit else 0


async def watch_pauses(
    detector: PauseDetector,
    on_pause: Callable[[float], None],
) -> None:
    """Observe for as long as the task lives; call back after each pause."""
    interval = detector.limit / TICKS_PER_LIMIT
    while True:
        length = detector.observe(time.monotonic())
        if length:
            logger.warning('paused', extra={'seconds': round(length, 3)})
            on_pause(length)
        await asyncio.sleep(interval)
