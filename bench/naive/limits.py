"""Naive admission: all slots at once and a queue without end."""

from collections import deque

from dragonflyshift._internal.limits import Admission, Ticket

RETRY_AFTER_SECONDS = 1.0


class Unbounded(Admission, name='unbounded'):
    """First come, first served, without bound, deadline or slow start."""

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        slow_start: float,
        now: float,
    ) -> None:
        """Offer all slots from the start."""
        self._slots = slots
        self._running = 0
        self._queue: deque[Ticket] = deque()

    def capacity(self, now: float) -> int:
        """Return all slots."""
        return self._slots

    def free_slots(self, now: float) -> int:
        """Return the slots that are not taken."""
        return max(0, self._slots - self._running)

    @property
    def running(self) -> int:
        """Return the slots taken."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the requests that wait."""
        return len(self._queue)

    def try_start(self, now: float) -> bool:
        """Take a slot if one is free."""
        if self._running >= self._slots:
            return False
        self._running += 1
        return True

    def finish(self, now: float, held: float) -> None:
        """Give a slot back."""
        self._running = max(0, self._running - 1)

    def enqueue(self, now: float, deadline: float, client: bytes) -> Ticket:
        """Queue the request, however many wait."""
        ticket = Ticket(deadline=deadline, enqueued_at=now, client=client)
        self._queue.append(ticket)
        return ticket

    def start_next(self, now: float) -> Ticket | None:
        """Take a slot for the request that came first."""
        if self._running >= self._slots or not self._queue:
            return None
        self._running += 1
        return self._queue.popleft()

    def peek(self, now: float) -> Ticket | None:
        """Return the request that came first."""
        return self._queue[0] if self._queue else None

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Let every request wait."""
        return ()

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request whose client went away."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def record_shed(self, now: float) -> None:
        """Ignore that the backend server shed load."""

    def record_success(self, now: float) -> None:
        """Ignore that the backend server answered."""

    def retry_after(self, now: float) -> float:
        """Return the same time for everyone."""
        return RETRY_AFTER_SECONDS

    def resize(self, slots: int, queue_limit: int) -> None:
        """Apply a changed number of slots."""
        self._slots = slots
