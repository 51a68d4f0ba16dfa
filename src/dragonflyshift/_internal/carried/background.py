"""The background work of a daemon: periodic work, and long-lived tasks.

Neither ends by an unforeseen exception. A daemon whose process ended by itself
would lose the packets of all its flows, for a fault that may concern one of its
duties only.
"""

__all__ = ('TaskSupervisor', 'Ticker')

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from attrs import define, field

from dragonflyshift._internal.carried.telemetry import Counters

logger = logging.getLogger(__name__)

# Timeouts of new flows and of lookups are multiples of this interval.
TICK_S = 0.02
# Statuses and sweeps need no shorter interval; each wake-up costs processor
# time.
IDLE_TICK_S = 0.1
MIN_RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 5.0
# A task that ran for this long restarts after the minimum delay again.
STABLE_RUN_S = 30.0


class Ticker:
    """Calls a function each tick, less often while idle.

    ``callback()`` returns whether work waits for the next tick. The timer goes
    on after an exception of it.
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
        has_waiting = True
        try:
            has_waiting = self._callback()
        except Exception:
            logger.exception('tick-failed')
        if self._handle is not None:
            self._schedule(is_active=has_waiting)


@define(eq=False, repr=False)
class TaskSupervisor:
    """Runs tasks, and restarts those that fail, until ``cancel`` is called.

    Each failure is logged as ``task-failed`` with its traceback, and counted.
    The wait before a restart doubles with each failure.

    Example:
        >>> supervisor.start('store-reader', reader.run)
    """

    counters: Counters
    rng: random.Random
    _tasks: list[asyncio.Task[None]] = field(factory=list)

    def start(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run ``work()`` in a task of the running loop, until it returns."""
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._run(name, work)))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    async def _run(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at = loop.time()
            try:
                return await work()
            except Exception:
                logger.exception('task-failed', extra={'task': name})
            self.counters.incr('task_failures')
            if loop.time() - started_at > STABLE_RUN_S:
                delay_s = MIN_RESTART_DELAY_S
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1))
            delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)
