"""Admission that adapts to the backend server's speed and shed load."""

from dragonflyshift._internal.limits.base import (
    Admission,
    QueueFullError,
    Ticket,
)
from dragonflyshift._internal.limits.concurrency import ConcurrencyLimit
from dragonflyshift._internal.limits.queue import DeadlineQueue
from dragonflyshift._internal.limits.release_interval import SlotReleaseInterval
from dragonflyshift._internal.limits.retry_schedule import (
    RetrySchedule,
    clamp_retry_after,
)


class AdaptiveAdmission(Admission, name='adaptive'):
    """Slots with slow start, and a bounded queue ordered by deadline.

    A request whose deadline is earlier than the estimated time of a free
    slot is refused immediately, with a retry time. Capacity grows with time,
    so the caller calls ``start_next`` after ``finish`` and also periodically
    while ``queued`` isn't zero.

    Example:
        >>> admission = AdaptiveAdmission(
        ...     slots=1, queue_limit=8, slow_start=0, now=0
        ... )
        >>> admission.try_start(now=0)
        True
        >>> ticket = admission.enqueue(now=1, deadline=9, client=b'flow')
        >>> admission.finish(now=2, held=2)
        >>> admission.start_next(now=2) is ticket
        True
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        slow_start: float,
        now: float,
    ) -> None:
        """Begin slow start at ``now``; it lasts ``slow_start`` seconds."""
        self._concurrency = ConcurrencyLimit(slots, slow_start, now)
        self._release_interval = SlotReleaseInterval()
        self._queue = DeadlineQueue(queue_limit)
        self._running = 0
        self._retry_schedule = RetrySchedule(now)

    def capacity(self, now: float) -> int:
        """Return the current maximum of running requests."""
        return self._concurrency.capacity(now)

    def free_slots(self, now: float) -> int:
        """Return how many slots new requests could take immediately."""
        if self._queue.waiting(now):
            return 0
        return max(0, self.capacity(now) - self._running)

    @property
    def running(self) -> int:
        """The number of slots in use."""
        return self._running

    @property
    def queued(self) -> int:
        """The number of queued requests, expired ones included."""
        return len(self._queue)

    def try_start(self, now: float) -> bool:
        """Take a slot if one is free and no request waits; return success."""
        if self.free_slots(now) <= 0:
            return False
        self._release_interval.record_free()
        self._take_slot(now)
        return True

    def finish(self, now: float, held: float) -> None:
        """Release a slot that was held for ``held`` seconds.

        ``held`` belongs to the interface of ``Admission``. It is unused here,
        because waits are estimated from the times between two releases.
        """
        self._running = max(0, self._running - 1)
        self._release_interval.record_finish(now, self._queue.waiting(now) > 0)

    def enqueue(self, now: float, deadline: float, client: bytes) -> Ticket:
        """Queue a request; raise QueueFullError if it is refused."""
        if self._misses_deadline(now, deadline) or not self._queue.has_room(
            client
        ):
            wait = self._release_interval.estimate_wait(
                now, self._queue.waiting(now)
            )
            interval = self._release_interval.interval(now)
            raise QueueFullError(
                self._retry_schedule.reserve(now, wait, interval)
            )
        ticket = Ticket(deadline=deadline, enqueued_at=now, client=client)
        self._queue.add(ticket)
        return ticket

    def start_next(self, now: float) -> Ticket | None:
        """Take a slot for the next unexpired request and dequeue it."""
        if self._running >= self.capacity(now):
            return None
        ticket = self._queue.pop_earliest(now)
        if ticket is not None:
            self._take_slot(now)
        return ticket

    def peek(self, now: float) -> Ticket | None:
        """Return the next unexpired request without removing it."""
        return self._queue.earliest(now)

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the queued requests whose deadline has passed."""
        return self._queue.pop_expired(now)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from the queue; ignore one that isn't queued."""
        self._queue.discard(ticket)

    def record_shed(self, now: float) -> None:
        """Record that the backend server shed load."""
        self._concurrency.record_shed(now)

    def record_success(self, now: float) -> None:
        """Record a successful response of the backend server."""
        self._concurrency.record_success(now)

    def retry_after(self, now: float) -> float:
        """Return the estimated seconds until a slot is free."""
        if self.free_slots(now) > 0:
            return 0
        return clamp_retry_after(
            self._release_interval.estimate_wait(now, self._queue.waiting(now))
        )

    def resize(self, slots: int, queue_limit: int) -> None:
        """Change the limits; keep running and queued requests."""
        self._concurrency.resize(slots)
        self._queue.limit = queue_limit

    def _take_slot(self, now: float) -> None:
        self._running += 1
        if self._running >= self.capacity(now):
            self._release_interval.record_full(now)

    def _misses_deadline(self, now: float, deadline: float) -> bool:
        """Return whether no slot is expected before the deadline.

        If all slots are taken and the deadline hasn't passed, this also
        starts a release interval, unless one has started already.
        """
        if deadline <= now or self.free_slots(now) > 0:
            return deadline <= now
        self._release_interval.record_full(now)
        ahead = self._queue.ahead_of(now, deadline)
        return now + self._release_interval.estimate_wait(now, ahead) > deadline
