"""A sidecar's word on its backend server, as balancers receive it."""

__all__ = ('BackendState', 'LoadReport')

import enum

from attrs import frozen


class BackendState(enum.IntEnum):
    """Whether a sidecar takes new flows for its backend server."""

    SERVING = 0
    LEAVING = 1
    DOWN = 2
    # It bounced a first packet a moment ago.
    FULL = 3


@frozen(repr=False)
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
