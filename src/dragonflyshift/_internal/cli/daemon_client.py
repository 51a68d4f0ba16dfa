"""Interface through which the command line queries a running daemon."""

from abc import ABC, abstractmethod

from attrs import frozen

from dragonflyshift._internal.models.address import Address

TIMEOUT_SECONDS = 5.0


@frozen
class RouteQuery:
    """A packet or a new flow that arrives at a service address.

    Either ``packet`` or ``flow_id`` is empty.
    """

    service_address: Address
    packet: bytes = b''
    flow_id: bytes = b''


class DaemonClient(ABC):
    """Queries one daemon; each method returns a JSON report.

    The methods raise PeerError if the daemon can't be reached, and WireError
    if its reply is invalid or its fleet keys are different.
    """

    @abstractmethod
    async def status(self) -> bytes:
        """Return the daemon's status report."""

    @abstractmethod
    async def route(self, query: RouteQuery) -> bytes:
        """Return a report on where the packet or flow would be sent."""
