"""Admission that follows the endpoint's pace and its refusals."""

from dragonflyshift._internal.limits.base import (
    Admission,
    QueueFullError,
    Ticket,
)
from dragonflyshift._internal.limits.pace import Pace
from dragonflyshift._internal.limits.queue import DeadlineQueue
from dragonflyshift._internal.limits.returns import (
    ReturnTimes,
    bounded_wait,
)
from dragonflyshift._internal.limits.window import SlotWindow


class Adaptive(Admission, name='adaptive'):
    """Slots with slow start, and a bounded queue with deadlines.

    A request that can't be served in time at the pace seen is refused at
    once, with the time to come back. Because capacity grows with time, the
    caller asks ``next_ready`` not only after ``finish`` but also now and
    then while ``queued`` isn't zero.

    Example:
        >>> limit = Adaptive(slots=1, queue_limit=8, slow_start=0, now=0)
        >>> limit.try_start(now=0)
        True
        >>> ticket = limit.enqueue(now=1, deadline=9, client=b'flow')
        >>> limit.finish(now=2, held=2)
        >>> limit.next_ready(now=2) is ticket
        True
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        slow_start: float,
        now: float,
    ) -> None:
        """Start cold at ``now``; reach all slots after ``slow_start`` s."""
        self._window = SlotWindow(slots, slow_start, now)
        self._pace = Pace()
        self._queue = DeadlineQueue(queue_limit)
        self._running = 0
        self._returns = ReturnTimes(now)

    def capacity(self, now: float) -> int:
        """Return the slots in use at most: slow start, shedding applied."""
        return self._window.capacity(now)

    def free(self, now: float) -> int:
        """Return the slots that a request could take at once."""
        if self._queue.waiting(now):
            return 0
        return max(0, self.capacity(now) - self._running)

    @property
    def running(self) -> int:
        """Return the slots taken."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the requests that wait."""
        return len(self._queue)

    def try_start(self, now: float) -> bool:
        """Take a slot if one is free and nobody waits for it."""
        if self.free(now) <= 0:
            return False
        self._pace.note_free()
        self._take_slot(now)
        return True

    def finish(self, now: float, held: float) -> None:
        """Give a slot back after ``held`` seconds."""
        self._running = max(0, self._running - 1)
        self._pace.note_finish(now, self._queue.waiting(now) > 0)

    def enqueue(self, now: float, deadline: float, client: bytes) -> Ticket:
        """Queue a request; raise QueueFullError when it can't be served."""
        if self._is_hopeless(now, deadline) or not self._queue.has_room(client):
            wait = self._pace.wait(now, self._queue.waiting(now))
            interval = self._pace.interval(now)
            raise QueueFullError(self._returns.book(now, wait, interval))
        ticket = Ticket(deadline=deadline, enqueued_at=now, client=client)
        self._queue.add(ticket)
        return ticket

    def next_ready(self, now: float) -> Ticket | None:
        """Take a slot for the next request that can still meet its deadline."""
        if self._running >= self.capacity(now):
            return None
        ticket = self._queue.pop_earliest(now)
        if ticket is not None:
            self._take_slot(now)
        return ticket

    def peek(self, now: float) -> Ticket | None:
        """Return the request that is next, and leave it in the queue."""
        return self._queue.earliest(now)

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the queued requests whose deadline passed."""
        return self._queue.pop_expired(now)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request that was given up on; unknown ones are ignored."""
        self._queue.discard(ticket)

    def shed(self, now: float) -> None:
        """Take note that the backend server shed load."""
        self._window.shed(now)

    def served(self, now: float) -> None:
        """Take note that the backend server answered."""
        self._window.served(now)

    def retry_after(self, now: float) -> float:
        """Estimate the seconds until a slot is free, from the pace seen."""
        if self.free(now) > 0:
            return 0
        return bounded_wait(self._pace.wait(now, self._queue.waiting(now)))

    def resize(self, slots: int, queue_limit: int) -> None:
        """Apply changed rules without losing running or queued requests."""
        self._window.resize(slots)
        self._queue.limit = queue_limit

    def _take_slot(self, now: float) -> None:
        self._running += 1
        if self._running >= self.capacity(now):
            self._pace.note_full(now)

    def _is_hopeless(self, now: float, deadline: float) -> bool:
        if deadline <= now or self.free(now) > 0:
            return deadline <= now
        self._pace.note_full(now)
        ahead = self._queue.ahead_of(now, deadline)
        return now + self._pace.wait(now, ahead) > deadline
