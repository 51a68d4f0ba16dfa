"""Periodic work that runs often only while something waits."""

__all__ = ('Ticker',)

import asyncio
from collections.abc import Callable

# The timeouts of openings and look-ups are multiples of it.
TICK_S = 0.02
# Wake-ups cost processor time; statuses and sweeps need no more of them.
IDLE_TICK_S = 0.1


class Ticker:
    """Call back each tick, seldom while idle.

    ``work()`` returns whether something waits for the next tick.
    """

    def __init__(self, work: Callable[[], bool]) -> None:
        """Prepare; ``start`` begins."""
        self._work = work
        self._handle: asyncio.TimerHandle | None = None
        self._is_hurried = False

    def start(self) -> None:
        """Begin on the running loop."""
        self._schedule(is_hurried=True)

    def hurry(self) -> None:
        """Take note that something waits now."""
        if not self._is_hurried and self._handle is not None:
            self._schedule(is_hurried=True)

    def stop(self) -> None:
        """Call back no more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, *, is_hurried: bool) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._is_hurried = is_hurried
        loop = asyncio.get_running_loop()
        delay = TICK_S if is_hurried else IDLE_TICK_S
        self._handle = loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        is_waiting = self._work()
        if self._handle is not None:
            self._schedule(is_hurried=is_waiting)
