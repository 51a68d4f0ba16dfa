"""A bounded queue of requests with a share for each client."""

from dragonflyshift._internal.limits.base import Ticket


class DeadlineQueue:
    """Requests that wait for a slot, served earliest deadline first.

    A client may add a request while it has fewer requests in the queue than
    there are free places. So a single client fills at most half of the queue,
    and there is always room for others.
    """

    def __init__(self, limit: int) -> None:
        """Create a queue of at most ``limit`` requests."""
        self.limit = limit
        # A dict keeps the order of arrival and deletes in constant time.
        self._tickets: dict[Ticket, None] = {}

    def __len__(self) -> int:
        """Return the number of queued requests, expired ones included."""
        return len(self._tickets)

    def has_room(self, client: bytes) -> bool:
        """Return whether a request of ``client`` may be added.

        An empty ``client`` is limited by the size of the queue only.
        """
        room = self.limit - len(self._tickets)
        if not client:
            return room > 0
        held = sum(ticket.client == client for ticket in self._tickets)
        return held < room

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        self._tickets[ticket] = None

    def discard(self, ticket: Ticket) -> None:
        """Remove a request if it is queued."""
        self._tickets.pop(ticket, None)

    def waiting(self, now: float) -> int:
        """Return the number of unexpired requests."""
        return sum(ticket.deadline > now for ticket in self._tickets)

    def ahead_of(self, now: float, deadline: float) -> int:
        """Return the number of requests served before a new one.

        ``deadline`` is that of the new request; equal ones go first.
        """
        return sum(
            now < ticket.deadline <= deadline for ticket in self._tickets
        )

    def earliest(self, now: float) -> Ticket | None:
        """Return the unexpired request with the earliest deadline."""
        return min(
            (ticket for ticket in self._tickets if ticket.deadline > now),
            key=_deadline,
            default=None,
        )

    def pop_earliest(self, now: float) -> Ticket | None:
        """Remove and return what ``earliest`` returns."""
        ticket = self.earliest(now)
        if ticket is not None:
            self.discard(ticket)
        return ticket

    def pop_expired(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the requests whose deadline has passed."""
        expired = tuple(
            ticket for ticket in self._tickets if ticket.deadline <= now
        )
        for ticket in expired:
            self.discard(ticket)
        return expired


def _deadline(ticket: Ticket) -> float:
    return ticket.deadline
