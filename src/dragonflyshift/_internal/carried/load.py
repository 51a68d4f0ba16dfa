"""A sidecar's word on its backend server, as balancers receive it."""

__all__ = ('BackendState', 'LoadReport')

import enum
from typing import Any

from attrs import frozen

_FIELDS = 8
MIN_SERVICE_MS = 1.0


class BackendState(enum.IntEnum):
    """Whether a sidecar takes new flows for its backend server."""

    SERVING = 0
    LEAVING = 1
    DOWN = 2


@frozen
class LoadReport:
    """What a backend server has to do.

    ``busy`` counts slots taken or reserved, ``waiting`` new flows that wait
    for one, ``open_flows`` all flows. ``service_ms`` is the measured time
    from a request to its answer. ``knows_all`` is False while the sidecar
    may not know all flows of its server, after a restart. ``sequence`` orders
    reports of one sidecar process.
    """

    state: BackendState
    slots: int
    busy: int
    waiting: int
    open_flows: int
    service_ms: float
    knows_all: bool
    sequence: int

    def wait_ms(self, ahead: int = 0) -> float:
        """Estimate how long one more request waits for a slot."""
        excess = self.busy + self.waiting + ahead + 1 - self.slots
        if excess <= 0:
            return 0
        return excess * self.service_ms / max(1, self.slots)

    def astuple(self) -> tuple[object, ...]:
        """Return the fields in their order, for other processes."""
        return (
            int(self.state),
            self.slots,
            self.busy,
            self.waiting,
            self.open_flows,
            round(self.service_ms, 1),
            self.knows_all,
            self.sequence,
        )

    @classmethod
    def of(cls, row: list[Any]) -> 'LoadReport':
        """Read what ``astuple`` gave; raise ValueError when malformed."""
        if len(row) != _FIELDS:
            raise ValueError('load report has a wrong length')
        state, slots, busy, waiting, flows, service, knows_all, sequence = row
        return cls(
            state=BackendState(state),
            slots=int(slots),
            busy=int(busy),
            waiting=int(waiting),
            open_flows=int(flows),
            service_ms=float(service),
            knows_all=bool(knows_all),
            sequence=int(sequence),
        )
