"""A simulated clock that advances from event to event."""

import heapq
from collections.abc import Callable
from itertools import count

# Time, insertion order, action. heapq compares tuples fast.
_Event = tuple[float, int, Callable[[], None]]


class EventClock:
    """A heap of events; simultaneous events run in insertion order."""

    def __init__(self, on_advance: Callable[[float, float], None]) -> None:
        """Start at zero; call ``on_advance`` with the old and new time."""
        self.now: float = 0
        self._on_advance = on_advance
        self._events: list[_Event] = []
        self._order = count()

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` to run in ``delay`` seconds."""
        event = (self.now + delay, next(self._order), action)
        heapq.heappush(self._events, event)

    def advance(self, until: float) -> None:
        """Run all events up to ``until`` and set the clock to it."""
        while self._events and self._events[0][0] <= until:
            time, _order, action = heapq.heappop(self._events)
            self._set_time(time)
            action()
        self._set_time(until)

    def _set_time(self, now: float) -> None:
        self._on_advance(self.now, now)
        self.now = now
