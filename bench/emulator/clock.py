"""Virtual clock that runs callbacks in the order of their due time."""

__all__ = ('VirtualClock',)

import heapq
from collections.abc import Callable
from functools import partial

from attrs import define, field


@define(eq=False)
class VirtualClock:
    """Event queue whose time advances only when it runs callbacks.

    ``now`` is the current time in seconds. Callbacks with the same due time
    run in the order in which they were scheduled.
    """

    now: float = 0
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = field(default=0)

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, ``delay_s`` seconds from now."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._count, callback))

    def every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` every ``period_s`` seconds, first after one."""
        self.after(period_s, partial(self._repeat, period_s, callback))

    def run_until(self, end_s: float) -> None:
        """Run all callbacks due by ``end_s``, and set ``now`` to it."""
        while self._queue and self._queue[0][0] <= end_s:
            due_at, _count, callback = heapq.heappop(self._queue)
            self.now = due_at
            callback()
        self.now = end_s

    def _repeat(self, period_s: float, callback: Callable[[], None]) -> None:
        callback()
        self.every(period_s, callback)
