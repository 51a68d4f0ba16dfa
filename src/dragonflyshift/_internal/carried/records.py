"""Endpoints of carried flows, as the published register lists them."""

__all__ = ('EndpointRecord',)

from attrs import frozen

from dragonflyshift._internal.carried.packet import SocketAddress


@frozen(repr=False)
class EndpointRecord:
    """One start of a backend server, with the revision that says so.

    ``host`` and ``port`` are where the backend server listens, beside its
    sidecar. ``started_ms`` is the Unix millisecond of its start and tells two
    starts under one name apart; ``warmup_ms`` is how long it stays slow.
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
