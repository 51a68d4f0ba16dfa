"""What the command line asks a running daemon."""

from abc import ABC, abstractmethod

from attrs import frozen

from dragonflyshift._internal.models.address import Address

TIMEOUT_SECONDS = 5.0


@frozen
class RouteQuery:
    """A packet, or a new flow, that arrives at a service address."""

    service_address: Address
    packet: bytes = b''
    flow_id: bytes = b''


class DaemonClient(ABC):
    """Ask one daemon; each report is JSON.

    Errors are PeerError when it can't be reached and WireError when its
    answer is not usable or it does not hold the fleet keys.
    """

    @abstractmethod
    async def status(self) -> bytes:
        """Return the daemon's view of itself."""

    @abstractmethod
    async def route(self, query: RouteQuery) -> bytes:
        """Return where the packet or flow would go, and why."""
