"""The virtual clock: callbacks in the order of their time."""

__all__ = ('VirtualClock',)

import heapq
from collections.abc import Callable
from functools import partial

from attrs import define, field


@define(eq=False)
class VirtualClock:
    """Run callbacks at their time; nothing else lets time pass."""

    now: float = 0
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = field(default=0)

    def after(self, delay_s: float, work: Callable[[], None]) -> None:
        """Call ``work`` once, ``delay_s`` seconds from now."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._count, work))

    def every(self, period_s: float, work: Callable[[], None]) -> None:
        """Call ``work`` again and again, first after one period."""
        self.after(period_s, partial(self._repeat, period_s, work))

    def run_until(self, end_s: float) -> None:
        """Run everything that is due until then."""
        while self._queue and self._queue[0][0] <= end_s:
            due_at, _count, work = heapq.heappop(self._queue)
            self.now = due_at
            work()
        self.now = end_s

    def _repeat(self, period_s: float, work: Callable[[], None]) -> None:
        work()
        self.every(period_s, work)
