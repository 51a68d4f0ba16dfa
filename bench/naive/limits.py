"""Baseline admission with a fixed number of slots and an unbounded queue."""

from collections import deque

from dragonflyshift._internal.limits import Admission, Ticket

RETRY_AFTER_SECONDS = 1.0


class UnboundedQueue(Admission, name='unbounded'):
    """First-in, first-out queue of unlimited length.

    It ignores deadlines, the queue limit and the slow start.
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        slow_start: float,
        now: float,
    ) -> None:
        """Make all slots available at once."""
        self._slots = slots
        self._running = 0
        self._queue: deque[Ticket] = deque()

    def capacity(self, now: float) -> int:
        """Return the number of slots."""
        return self._slots

    def free_slots(self, now: float) -> int:
        """Return the number of slots that are free."""
        return max(0, self._slots - self._running)

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._running

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def try_start(self, now: float) -> bool:
        """Occupy a slot; return False if none is free."""
        if self._running >= self._slots:
            return False
        self._running += 1
        return True

    def finish(self, now: float, held: float) -> None:
        """Release a slot; the time for which it was held is ignored."""
        self._running = max(0, self._running - 1)

    def enqueue(self, now: float, deadline: float, client: bytes) -> Ticket:
        """Queue a request regardless of the length of the queue."""
        ticket = Ticket(deadline=deadline, enqueued_at=now, client=client)
        self._queue.append(ticket)
        return ticket

    def start_next(self, now: float) -> Ticket | None:
        """Occupy a slot for the request that has waited longest.

        Return its ticket, or None if no slot is free or no request is queued.
        """
        if self._running >= self._slots or not self._queue:
            return None
        self._running += 1
        return self._queue.popleft()

    def peek(self, now: float) -> Ticket | None:
        """Return the ticket of the request that has waited longest, or None."""
        return self._queue[0] if self._queue else None

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Return an empty tuple, because queued requests don't expire."""
        return ()

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from the queue; ignore one that isn't queued."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def record_shed(self, now: float) -> None:
        """Ignore a shed request; the number of slots is fixed."""

    def record_success(self, now: float) -> None:
        """Ignore a successful request; the number of slots is fixed."""

    def retry_after(self, now: float) -> float:
        """Return a constant number of seconds."""
        return RETRY_AFTER_SECONDS

    def resize(self, slots: int, queue_limit: int) -> None:
        """Set the number of slots; the queue limit is ignored."""
        self._slots = slots
