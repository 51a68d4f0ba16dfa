"""A bounded queue of requests, ordered by deadline, shared fairly."""

from dragonflyshift._internal.limits.base import Ticket


class DeadlineQueue:
    """Requests that wait for a slot; the earliest deadline goes first.

    A client may hold as much of the queue as is left over, so one alone
    gets half of it and there is always room for others.
    """

    def __init__(self, limit: int) -> None:
        """Hold at most ``limit`` requests."""
        self.limit = limit
        # A dict keeps the order of arrival and removes in constant time.
        self._tickets: dict[Ticket, None] = {}

    def __len__(self) -> int:
        """Return the requests held, those too late included."""
        return len(self._tickets)

    def has_room(self, client: bytes) -> bool:
        """Tell whether a request of ``client`` may wait here."""
        room = self.limit - len(self._tickets)
        if not client:
            return room > 0
        held = sum(ticket.client == client for ticket in self._tickets)
        return held < room

    def add(self, ticket: Ticket) -> None:
        """Append a request."""
        self._tickets[ticket] = None

    def discard(self, ticket: Ticket) -> None:
        """Remove a request if it is here."""
        self._tickets.pop(ticket, None)

    def waiting(self, now: float) -> int:
        """Return the requests that can still meet their deadline."""
        return sum(ticket.deadline > now for ticket in self._tickets)

    def ahead_of(self, now: float, deadline: float) -> int:
        """Return the requests that would be served before ``deadline``'s."""
        return sum(
            now < ticket.deadline <= deadline for ticket in self._tickets
        )

    def earliest(self, now: float) -> Ticket | None:
        """Return the next request that can meet its deadline."""
        return min(
            (ticket for ticket in self._tickets if ticket.deadline > now),
            key=_deadline,
            default=None,
        )

    def pop_earliest(self, now: float) -> Ticket | None:
        """Remove and return the next request that can meet its deadline."""
        ticket = self.earliest(now)
        if ticket is not None:
            self.discard(ticket)
        return ticket

    def pop_expired(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the requests whose deadline passed."""
        expired = tuple(
            ticket for ticket in self._tickets if ticket.deadline <= now
        )
        for ticket in expired:
            self.discard(ticket)
        return expired


def _deadline(ticket: Ticket) -> float:
    return ticket.deadline
