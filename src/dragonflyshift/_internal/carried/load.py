"""The load report that a sidecar sends to its peers."""

__all__ = ('BackendState', 'LoadReport')

import enum

from attrs import frozen


class BackendState(enum.IntEnum):
    """Whether a sidecar accepts new flows for its backend server."""

    SERVING = 0
    LEAVING = 1
    DOWN = 2
    # The backend server bounced a first packet a moment ago.
    FULL = 3


@frozen(repr=False)
class LoadReport:
    """The load of one backend server.

    ``slots`` is the number of requests that the server runs at a time.
    ``busy`` counts the slots in use or reserved, ``waiting`` the new flows
    that wait for a slot, ``open_flows`` all flows. ``service_ms`` is the
    service time that the sidecar measures. ``knows_all`` means that the flow
    table holds all flows of the server. It is False after a restart of the
    sidecar, until no flow from before the restart can be missing.
    ``sequence`` orders the reports of one sidecar process.
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
        """Estimate the wait in milliseconds of one more request for a slot.

        ``ahead`` counts requests before it that this report doesn't include.
        """
        excess = self.busy + self.waiting + ahead + 1 - self.slots
        if excess <= 0:
            return 0
        return excess * self.service_ms / max(1, self.slots)
