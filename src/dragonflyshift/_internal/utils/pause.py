"""Detection of pauses of the process.

When a process resumes after it was stopped or its host was suspended, its
leases, deadlines and views may have expired. It must not act on them.
"""

import asyncio
import logging
import time
from collections.abc import Callable

TICKS_PER_LIMIT = 4

logger = logging.getLogger(__name__)


def suspended_seconds() -> float:
    """Return for how many seconds the host was suspended since its start.

    While the host is suspended, CLOCK_BOOTTIME advances and the monotonic
    clock doesn't. Without CLOCK_BOOTTIME the result is 0.
    """
    boottime = getattr(time, 'CLOCK_BOOTTIME', None)
    if boottime is None:
        return 0
    return time.clock_gettime(boottime) - time.monotonic()


class PauseDetector:
    """Detects a pause from the time between two observations.

    ``limit`` is the longest time in seconds that is not considered a pause.
    It has to exceed the interval of the observations, and be shorter than the
    shortest lease or timeout that could expire during a pause.
    """

    def __init__(
        self,
        limit: float,
        suspended: Callable[[], float] = suspended_seconds,
    ) -> None:
        """Create a detector that has made no observation yet."""
        self.limit = limit
        self._suspended = suspended
        self._observed_at: float | None = None
        self._observed_suspension = suspended()

    def observe(self, now: float) -> float:
        """Return the seconds of a pause since the last observation, or 0."""
        suspended = self._suspended()
        gap = suspended - self._observed_suspension
        if self._observed_at is not None:
            gap += now - self._observed_at
        self._observed_at = now
        self._observed_suspension = suspended
        return gap if gap > self.limit else 0


async def watch_pauses(
    detector: PauseDetector,
    on_pause: Callable[[float], None],
) -> None:
    """Call ``on_pause`` with the seconds of each pause, until cancelled."""
    interval = detector.limit / TICKS_PER_LIMIT
    while True:
        length = detector.observe(time.monotonic())
        if length:
            logger.warning('paused', extra={'seconds': round(length, 3)})
            on_pause(length)
        await asyncio.sleep(interval)
