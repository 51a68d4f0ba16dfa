"""What a sidecar knows of its backend server as a whole."""

__all__ = ('BackendTracker',)

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.openings import OpeningPolicy
from dragonflyshift._internal.carried.sidecar.flows import FlowTable
from dragonflyshift._internal.carried.sidecar.service_time import (
    ServiceTimeEstimator,
)

# After a bounced first packet the server is taken as full for this long, twice
# as long after each further one; a server that is ending bounces all.
MIN_BOUNCE_BACKOFF_S = 0.1
MAX_BOUNCE_BACKOFF_S = 2.0
# A server that started at most this long before this process has had no other
# sidecar: restarting one takes longer.
MAX_START_LEAD_MS = 250


@define(eq=False, repr=False)
class BackendTracker:
    """The backend server's state, slots and pace.

    ``knows_all`` is False while the server may hold flows that this process
    has not seen, after a restart of the process. ``bound_ms`` is the Unix
    millisecond at which this process began to take packets.
    """

    service: str
    address: SocketAddress
    view: FleetView
    policy: OpeningPolicy
    knows_all: bool
    listening_since_ms: float = field(default=float('inf'))
    table: FlowTable = field(factory=FlowTable)
    service_time: ServiceTimeEstimator = field(factory=ServiceTimeEstimator)
    slots: int = field(default=1)
    is_stopping: bool = field(default=False)
    is_down: bool = field(default=False)
    # When a packet of the server was seen last.
    last_packet_at: float = field(default=float('-inf'))
    _backoff_until: float = field(default=float('-inf'))
    _backoff_s: float = field(default=0)
    _sequence: int = field(default=0)
    _was_listed: bool = field(default=False)
    _is_listed_leaving: bool = field(default=False)

    def state(self, now: float) -> BackendState:
        """Tell whether new flows are taken."""
        if self.is_down:
            return BackendState.DOWN
        if self.is_stopping or self._is_listed_leaving:
            return BackendState.LEAVING
        if now < self._backoff_until:
            return BackendState.FULL
        return BackendState.SERVING

    def apply_endpoint_record(self) -> None:
        """Take over what the register lists for the server."""
        listed = self.view.find_by_address(self.address)
        if listed is None:
            # A server that isn't listed yet serves; one that was has left.
            self._is_listed_leaving = self._was_listed
            return
        self._is_listed_leaving = listed.is_leaving
        if listed.service == self.service:
            self._was_listed = True
            self.slots = max(1, listed.slots)
            if listed.started_ms > self.listening_since_ms - MAX_START_LEAD_MS:
                self.knows_all = True

    def record_bounce(self, now: float) -> None:
        """Take note that the server bounced a first packet."""
        self._backoff_s = min(
            MAX_BOUNCE_BACKOFF_S, max(MIN_BOUNCE_BACKOFF_S, self._backoff_s * 2)
        )
        self._backoff_until = now + self._backoff_s

    def reset_bounce_backoff(self) -> None:
        """Take note that the server accepted a flow."""
        self._backoff_s = 0

    def service_ms(self, now: float) -> float:
        """Estimate the time that the server takes for a request."""
        oldest = min(
            (flow.request_at or now for flow in self.table.running()),
            default=now,
        )
        return self.service_time.estimate_ms(now - oldest)

    def load(self, now: float) -> LoadReport:
        """Return the report for balancers."""
        self._sequence += 1
        return LoadReport(
            state=self.state(now),
            slots=self.slots,
            busy=self.table.busy(now),
            waiting=self.policy.waiting,
            open_flows=len(self.table),
            service_ms=round(self.service_ms(now), 1),
            knows_all=self.knows_all,
            sequence=self._sequence,
        )
