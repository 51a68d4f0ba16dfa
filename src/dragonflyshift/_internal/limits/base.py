"""Abstract base class of admission control.

Times are seconds of a monotonic clock and are passed in by the caller.
"""

from abc import abstractmethod

from attrs import define, field

from dragonflyshift._internal.exceptions import RoutingError
from dragonflyshift._internal.kernel.registry import Plugin


class QueueFullError(RoutingError):
    """A request was refused without being run.

    ``retry_after`` is the estimated number of seconds until a slot is free.
    """

    def __init__(self, retry_after: float) -> None:
        """Set the message and the retry time."""
        super().__init__('queue is full', hint=f'retry in {retry_after:.1f} s')
        self.retry_after = retry_after


@define(eq=False)
class Ticket:
    """A queued request; times are seconds of the monotonic clock.

    ``client`` identifies the flow of the request: the four bytes of the
    client's address and an id. ``waiter`` belongs to the caller.
    ``displaces`` holds the requests that gave way to this one: they are no
    longer queued and have not run.
    """

    deadline: float
    enqueued_at: float
    client: bytes = b''
    waiter: object = field(default=None)
    displaces: 'tuple[Ticket, ...]' = ()


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
        """Begin slow start at ``now``; it lasts ``slow_start`` seconds."""

    @abstractmethod
    def capacity(self, now: float) -> int:
        """Return the current maximum of running requests."""

    @abstractmethod
    def free_slots(self, now: float) -> int:
        """Return how many slots new requests could take immediately."""

    @property
    @abstractmethod
    def running(self) -> int:
        """The number of slots in use."""

    @property
    @abstractmethod
    def queued(self) -> int:
        """The number of queued requests, expired ones included."""

    @abstractmethod
    def try_start(self, now: float) -> bool:
        """Take a slot if one is free and no request waits; return success."""

    def record_start(self, now: float, client: bytes) -> None:
        """Record whose request took a slot by ``try_start``."""

    @abstractmethod
    def finish(self, now: float, held: float) -> None:
        """Release a slot that was held for ``held`` seconds."""

    @abstractmethod
    def enqueue(self, now: float, deadline: float, client: bytes) -> Ticket:
        """Queue a request; raise QueueFullError if it is refused.

        A request is refused when the queue is full, when ``client`` (the
        identity of a flow) already holds its share of the queue, or when a
        slot isn't expected to be free before the deadline.
        """

    @abstractmethod
    def start_next(self, now: float) -> Ticket | None:
        """Take a slot for the next unexpired request and dequeue it."""

    @abstractmethod
    def peek(self, now: float) -> Ticket | None:
        """Return the next unexpired request without removing it."""

    @abstractmethod
    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the queued requests whose deadline has passed."""

    @abstractmethod
    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from the queue; ignore one that isn't queued."""

    @abstractmethod
    def record_shed(self, now: float) -> None:
        """Record that the backend server shed load."""

    @abstractmethod
    def record_success(self, now: float) -> None:
        """Record a successful response of the backend server."""

    @abstractmethod
    def retry_after(self, now: float) -> float:
        """Return the estimated seconds until a slot is free."""

    def gauges(self, now: float) -> dict[str, float]:
        """Return the levels of the plug-in's own gauges by name."""
        return {}

    @abstractmethod
    def resize(self, slots: int, queue_limit: int) -> None:
        """Change the limits; keep running and queued requests."""
