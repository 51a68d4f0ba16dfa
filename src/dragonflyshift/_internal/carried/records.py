"""Records of endpoints of carried flows, as the store lists them."""

__all__ = ('EndpointRecord',)

from attrs import frozen

from dragonflyshift._internal.carried.packet import SocketAddress


@frozen(repr=False)
class EndpointRecord:
    """One start of a backend server, and the revision of its record.

    ``host`` and ``port`` are where the backend server listens; its sidecar
    runs on the same host. ``slots`` is the number of requests that it runs at
    a time. ``warmup_ms`` is how much longer it is slow after its start.
    ``started_ms`` is the time of its start in Unix milliseconds and
    distinguishes two starts under one name.
    """

    name: str
    revision: int
    service: str
    host: str
    port: int
    data_center: str
    slots: int
    is_leaving: bool
    warmup_ms: int
    started_ms: int

    @property
    def address(self) -> SocketAddress:
        """The backend server's address."""
        return (self.host, self.port)
