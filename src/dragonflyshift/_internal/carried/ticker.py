"""A periodic timer with a longer interval while no work waits."""

__all__ = ('Ticker',)

import asyncio
from collections.abc import Callable

# Timeouts of new flows and of lookups are multiples of this interval.
TICK_S = 0.02
# Statuses and sweeps need no shorter interval; each wake-up costs processor
# time.
IDLE_TICK_S = 0.1


class Ticker:
    """Calls a function each tick, less often while idle.

    ``callback()`` returns whether work waits for the next tick.
    """

    def __init__(self, callback: Callable[[], bool]) -> None:
        """Create a stopped ticker."""
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._is_active = False

    def start(self) -> None:
        """Start the timer on the running event loop."""
        self._schedule(is_active=True)

    def activate(self) -> None:
        """Switch to the short interval, because work waits."""
        if not self._is_active and self._handle is not None:
            self._schedule(is_active=True)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, *, is_active: bool) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._is_active = is_active
        loop = asyncio.get_running_loop()
        delay = TICK_S if is_active else IDLE_TICK_S
        self._handle = loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        has_waiting = self._callback()
        if self._handle is not None:
            self._schedule(is_active=has_waiting)
