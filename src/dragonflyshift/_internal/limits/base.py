"""Abstract base for admission to an endpoint's slots.

Times are seconds of a monotonic clock that the caller passes in.
"""

from abc import abstractmethod

from attrs import define, field

from dragonflyshift._internal.exceptions import RoutingError
from dragonflyshift._internal.kernel.registry import Plugin


class QueueFullError(RoutingError):
    """The queue is full; the request has not run.

    ``retry_after`` says in how many seconds a slot should be free.
    """

    def __init__(self, retry_after: float) -> None:
        """Keep the time to come back."""
        super().__init__('queue is full', hint=f'retry in {retry_after:.1f} s')
        self.retry_after = retry_after


@define(eq=False)
class Ticket:
    """A request's place in the queue; ``deadline`` is monotonic time."""

    deadline: float
    enqueued_at: float
    client: bytes = b''
    waiter: object = field(default=None)


class Admission(Plugin, kind='admission'):
    """Admit requests to the slots of one backend server."""

    @abstractmethod
    def __init__(
        self,
        slots: int,
        queue_limit: int,
        slow_start: float,
        now: float,
    ) -> None:
        """Start cold at ``now``; reach all slots after ``slow_start`` s."""

    @abstractmethod
    def capacity(self, now: float) -> int:
        """Return the slots in use at most: slow start, shedding applied."""

    @abstractmethod
    def free(self, now: float) -> int:
        """Return the slots that a request could take at once."""

    @property
    @abstractmethod
    def running(self) -> int:
        """Return the slots taken."""

    @property
    @abstractmethod
    def queued(self) -> int:
        """Return the requests that wait."""

    @abstractmethod
    def try_start(self, now: float) -> bool:
        """Take a slot if one is free and nobody waits for it."""

    @abstractmethod
    def finish(self, now: float, held: float) -> None:
        """Give a slot back after ``held`` seconds."""

    @abstractmethod
    def enqueue(self, now: float, deadline: float, client: bytes) -> Ticket:
        """Queue a request; raise QueueFullError when it can't be served.

        That is: the queue is full, ``client`` (a flow's identity) already
        holds its share of it, or the deadline can't be met at the pace seen.
        """

    @abstractmethod
    def next_ready(self, now: float) -> Ticket | None:
        """Take a slot for the next request that can still meet its deadline."""

    @abstractmethod
    def peek(self, now: float) -> Ticket | None:
        """Return the request that is next, and leave it in the queue."""

    @abstractmethod
    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the queued requests whose deadline passed."""

    @abstractmethod
    def cancel(self, ticket: Ticket) -> None:
        """Remove a request that was given up on; unknown ones are ignored."""

    @abstractmethod
    def shed(self, now: float) -> None:
        """Take note that the backend server shed load."""

    @abstractmethod
    def served(self, now: float) -> None:
        """Take note that the backend server answered."""

    @abstractmethod
    def retry_after(self, now: float) -> float:
        """Estimate the seconds until a slot is free, from the pace seen."""

    @abstractmethod
    def resize(self, slots: int, queue_limit: int) -> None:
        """Apply changed rules without losing running or queued requests."""
