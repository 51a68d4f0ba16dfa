"""Endpoints of carried flows, as the published register lists them."""

__all__ = ('EndpointRecord',)

from typing import Any

from attrs import frozen

from dragonflyshift._internal.carried.packet import Pair

_FIELDS = 10


@frozen
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
    def pair(self) -> Pair:
        """The backend server's address."""
        return (self.host, self.port)

    def astuple(self) -> tuple[object, ...]:
        """Return the fields in their order, for other processes."""
        return (
            self.name,
            self.revision,
            self.service,
            self.host,
            self.port,
            self.data_center,
            self.slots,
            self.is_leaving,
            self.warmup_ms,
            self.started_ms,
        )

    @classmethod
    def of(cls, row: list[Any]) -> 'EndpointRecord':
        """Read what ``astuple`` gave; raise ValueError when malformed."""
        if len(row) != _FIELDS:
            raise ValueError('endpoint record has a wrong length')
        name, revision, service, host, port = row[:5]
        data_center, slots, leaving, warmup, started = row[5:]
        return cls(
            name=str(name),
            revision=int(revision),
            service=str(service),
            host=str(host),
            port=int(port),
            data_center=str(data_center),
            slots=int(slots),
            is_leaving=bool(leaving),
            warmup_ms=int(warmup),
            started_ms=int(started),
        )
