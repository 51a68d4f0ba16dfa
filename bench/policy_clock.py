"""A clock that jumps from event to event."""

import heapq
from collections.abc import Callable
from itertools import count

# Time, order of arrival, action: a tuple, because heapq compares it fast.
_Event = tuple[float, int, Callable[[], None]]


class EventClock:
    """A heap of events; those of the same time run in the order they came."""

    def __init__(self, on_move: Callable[[float, float], None]) -> None:
        """Start at zero; tell ``on_move`` the old and the new time."""
        self.now: float = 0
        self._on_move = on_move
        self._events: list[_Event] = []
        self._order = count()

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` in ``delay`` seconds."""
        event = (self.now + delay, next(self._order), action)
        heapq.heappush(self._events, event)

    def advance(self, until: float) -> None:
        """Run all events up to a time, and stop the clock there."""
        while self._events and self._events[0][0] <= until:
            time, _order, action = heapq.heappop(self._events)
            self._move(time)
            action()
        self._move(until)

    def _move(self, now: float) -> None:
        self._on_move(self.now, now)
        self.now = now
