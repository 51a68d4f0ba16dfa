"""What a sidecar knows of its backend server as a whole."""

__all__ = ('BackendCondition',)

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.admission import AdmissionPolicy
from dragonflyshift._internal.carried.sidecar.flows import FlowTable
from dragonflyshift._internal.carried.sidecar.pace import ServicePace

# After a bounced first packet the server is taken as full for this long, twice
# as long after each further one; a server that is ending bounces all.
FULL_S = 0.1
MAX_FULL_S = 2.0
# A server that started at most this long before this process has had no other
# sidecar: restarting one takes longer.
START_GAP_MS = 250


@define(eq=False, repr=False)
class BackendCondition:
    """The backend server's state, slots and pace.

    ``knows_all`` is False while the server may hold flows that this process
    has not seen, after a restart of the process. ``bound_ms`` is the Unix
    millisecond at which this process began to take packets.
    """

    service: str
    backend: SocketAddress
    view: FleetView
    policy: AdmissionPolicy
    knows_all: bool
    bound_ms: float = field(default=float('inf'))
    table: FlowTable = field(factory=FlowTable)
    pace: ServicePace = field(factory=ServicePace)
    slots: int = field(default=1)
    is_stopping: bool = field(default=False)
    is_down: bool = field(default=False)
    # When a packet of the server was seen last.
    seen_at: float = field(default=float('-inf'))
    _full_until: float = field(default=float('-inf'))
    _full_s: float = field(default=0)
    _sequence: int = field(default=0)
    _was_listed: bool = field(default=False)
    _is_listed_leaving: bool = field(default=False)

    def state(self, now: float) -> BackendState:
        """Tell whether new flows are taken."""
        if self.is_down:
            return BackendState.DOWN
        if self.is_stopping or self._is_listed_leaving:
            return BackendState.LEAVING
        if now < self._full_until:
            return BackendState.FULL
        return BackendState.SERVING

    def read_register(self) -> None:
        """Take over what the register lists for the server."""
        listed = self.view.find_by_address(self.backend)
        if listed is None:
            # A server that isn't listed yet serves; one that was has left.
            self._is_listed_leaving = self._was_listed
            return
        self._is_listed_leaving = listed.is_leaving
        if listed.service == self.service:
            self._was_listed = True
            self.slots = max(1, listed.slots)
            if listed.started_ms > self.bound_ms - START_GAP_MS:
                self.knows_all = True

    def note_full(self, now: float) -> None:
        """Take note that the server bounced a first packet."""
        self._full_s = min(MAX_FULL_S, max(FULL_S, self._full_s * 2))
        self._full_until = now + self._full_s

    def note_opened(self) -> None:
        """Take note that the server accepted a flow."""
        self._full_s = 0

    def service_ms(self, now: float) -> float:
        """Estimate the time that the server takes for a request."""
        oldest = min(
            (flow.request_at or now for flow in self.table.running()),
            default=now,
        )
        return self.pace.service_ms(now - oldest)

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
