"""State and load of the backend server beside a sidecar."""

__all__ = ('BackendTracker', 'FailureTracking')

import importlib
import logging
import math
from typing import TYPE_CHECKING

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress
from dragonflyshift._internal.carried.policies.admission import AdmissionPolicy
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.sidecar.flow_table import FlowTable
from dragonflyshift._internal.carried.sidecar.service_time import (
    ServiceTimeEstimator,
)
from dragonflyshift._internal.carried.telemetry import Counters

if TYPE_CHECKING:
    from dragonflyshift._internal.carried.policies.cold_pace import ColdPace
    from dragonflyshift._internal.carried.sidecar.failure_monitor import (
        FailureMonitor,
    )

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# Imported with the first flow, to keep the start of a sidecar short.
_MONITOR_MODULE = 'dragonflyshift._internal.carried.sidecar.failure_monitor'
# After a bounced first packet the server counts as full for the minimum, and
# for twice the previous time after each further bounce, up to the maximum. A
# server that is shutting down bounces every first packet.
MIN_BOUNCE_BACKOFF_S = 0.1
MAX_BOUNCE_BACKOFF_S = 2.0
# The second before the start of this process counts as used up for a cold
# server (``cold_pace``). Without a view for longer no limit is known.
MAX_VIEW_WAIT_S = 1.05
# After a longer gap between two checks this process was suspended, and answers
# that have arrived may not have been read yet.
MAX_CHECK_GAP_S = 0.3


@define(eq=False, repr=False)
class FailureTracking:
    """Passes the requests of a server to the detection of its failures.

    Nothing is detected without ``is_enabled``. ``service_time`` gets the times
    of the answers that are no suspected errors.
    """

    table: FlowTable
    service_time: ServiceTimeEstimator
    is_enabled: bool
    _checked_at: float = field(default=float('-inf'))
    _monitor: 'FailureMonitor | None' = field(default=None)

    @property
    def monitor(self) -> 'FailureMonitor':
        """The detection of the server's failures, created on first use."""
        if self._monitor is None:
            module = importlib.import_module(_MONITOR_MODULE)
            self._monitor = module.FailureMonitor(self.service_time)
        return self._monitor

    def is_avoided(self, now: float) -> bool:
        """Return whether the server is suspected and not to be probed now."""
        monitor = self._monitor
        return monitor is not None and monitor.detector.is_avoided(now)

    def is_suspected(self) -> bool:
        """Return whether the server is suspected of failing."""
        monitor = self._monitor
        return monitor is not None and monitor.detector.is_suspected

    def penalty_ms(self, now: float) -> float:
        """Return the mean cost of failures per request in milliseconds."""
        monitor = self._monitor
        return 0 if monitor is None else monitor.detector.penalty_ms(now)

    def restart(self, service_time: ServiceTimeEstimator) -> None:
        """Forget what is known of a server that has restarted."""
        self.service_time = service_time
        self._monitor = None
        self.table.outcomes.take()

    def record_start(self, now: float) -> None:
        """Count a new flow, which may be a probe."""
        if self._monitor is not None:
            self._monitor.detector.record_start(now)

    def record_service(
        self, key: FlowKey, service_s: float, answer_s: float
    ) -> None:
        """Record the service time of an answer.

        One that may be an error is recorded once it is complete.
        """
        if self.is_enabled and self.monitor.may_be_error(key, answer_s):
            return
        self.service_time.record(service_s)

    def check_requests(
        self, now: float, slots: int, counters: Counters
    ) -> None:
        """Look for answers that are complete and requests without one."""
        if not self.is_enabled:
            return
        self.table.outcomes.complete_answers(now)
        is_delayed = now - self._checked_at > MAX_CHECK_GAP_S
        self._checked_at = now
        if self.table.running_flows() and not is_delayed:
            self.monitor.check_running(now, self.table, slots)
        self.record_outcomes(now, slots, counters)

    def record_outcomes(
        self, now: float, slots: int, counters: Counters
    ) -> None:
        """Pass the outcomes of requests to the detection of failures."""
        outcomes = self.table.outcomes.take()
        if outcomes and self.is_enabled:
            self.monitor.record(now, outcomes, slots, counters)


@define(eq=False, repr=False)
class BackendTracker:
    """Tracks the state, slots, flows and service time of a backend server.

    ``knows_all`` means that the flow table holds all flows of the server. It
    is False after a restart of this process, until no flow from before the
    restart can be missing. ``is_first_start`` means that the whole system
    starts for the first time.
    With ``detects_failures`` a server may be suspected by how its requests end.
    """

    service: str
    address: SocketAddress
    view: FleetView
    policy: AdmissionPolicy
    knows_all: bool
    data_center: str = field(default='')
    table: FlowTable = field(factory=FlowTable)
    service_time: ServiceTimeEstimator = field(factory=ServiceTimeEstimator)
    slots: int = field(default=1)
    is_stopping: bool = field(default=False)
    is_down: bool = field(default=False)
    # Monotonic time of the server's last packet.
    last_packet_at: float = field(default=float('-inf'))
    failures: 'FailureTracking' = field(init=False)
    _backoff_until: float = field(default=float('-inf'))
    _backoff_s: float = field(default=0)
    _sequence: int = field(default=0)
    _was_listed: bool = field(default=False)
    _is_listed_leaving: bool = field(default=False)
    is_first_start: bool = field(default=False)
    detects_failures: bool = field(default=False)
    # Bounds of the new flows of a cold server, see ``NodeSettings``.
    warmup_overage: float = field(default=1.5)
    warmup_slack: float = field(default=5.0)
    # Whether new flows are refused until the view shows if there is a limit.
    awaits_warmups: bool = field(default=False)
    # Monotonic time from which on this process sees all flows of the server.
    _created_at: float = field(init=False)
    # Revision of the newest record of the server, and the end of the warm-up
    # time that the record states.
    _listed_revision: int | None = field(default=None)
    _listed_cold_until: float = field(default=float('-inf'))
    _found_at: float = field(default=float('-inf'))
    # None until the configuration has a warm-up rate for the service.
    _pace: 'ColdPace | None' = field(default=None)

    def __attrs_post_init__(self) -> None:
        """Record the time of the creation, and create the failure tracking."""
        self.failures = FailureTracking(
            self.table, self.service_time, self.detects_failures
        )
        self._created_at = self.view.clock()

    @property
    def is_evacuated(self) -> bool:
        """Whether the server's data centre takes no new flows."""
        return self.view.evacuations.is_evacuated(self.data_center)

    def state(self, now: float) -> BackendState:
        """Return whether new flows are accepted, or why they are not."""
        if self.is_down:
            return BackendState.DOWN
        if self.is_stopping or self._is_listed_leaving or self.is_evacuated:
            return BackendState.LEAVING
        if now < self._backoff_until or not self.may_start(now):
            return BackendState.FULL
        return BackendState.SERVING

    def apply_endpoint_record(self) -> None:
        """Apply the server's endpoint record, if the view has one.

        It sets the configured slots and whether the server is leaving. The
        start time that it states proves nothing about flows from before this
        process: a clock may have jumped in between.
        """
        listed = self.view.find_by_address(self.address, self.service)
        if listed is None:
            # A server without a record accepts flows if it has never had one
            # and has left if it had one before.
            self._is_listed_leaving = self._was_listed
            self._update_pace()
            return
        self._is_listed_leaving = listed.is_leaving
        self._was_listed = True
        self.slots = max(1, listed.slots)
        self._record_listed(listed)
        self._update_pace()

    def may_start(self, now: float) -> bool:
        """Return whether the warm-up rate permits one more flow now."""
        if self._pace is not None:
            return self._pace.is_open(now)
        if self.knows_all or self.view.is_usable or not self.awaits_warmups:
            return True
        return now >= self._created_at + MAX_VIEW_WAIT_S

    def next_start_at(self, now: float) -> float:
        """Return when the warm-up rate permits the next flow."""
        return now if self._pace is None else self._pace.opens_at(now)

    def record_start(self, now: float) -> None:
        """Count a first packet that the server gets or has got."""
        if self._pace is not None:
            self._pace.record_start(now)
        self.failures.record_start(now)

    def record_found(self, now: float) -> None:
        """Treat the server as cold, since it was lost and has restarted."""
        self._found_at = now
        self._update_pace()

    def record_bounce(self, now: float) -> None:
        """Refuse new flows for a while: the server bounced a first packet."""
        self._backoff_s = min(
            MAX_BOUNCE_BACKOFF_S,
            max(MIN_BOUNCE_BACKOFF_S, self._backoff_s * 2),
        )
        self._backoff_until = now + self._backoff_s

    def reset_bounce_backoff(self) -> None:
        """Reset the backoff duration; a current backoff continues.

        This is done once the server has accepted a flow.
        """
        self._backoff_s = 0

    def service_ms(self, now: float) -> float:
        """Return the estimated service time of a request in milliseconds."""
        oldest = min(
            (
                flow.request_started_at or now
                for flow in self.table.running_flows()
            ),
            default=now,
        )
        return self.service_time.estimate_ms(now - oldest)

    def restart_measurements(self) -> None:
        """Start the measurements of the service time and of failures anew."""
        self.service_time = ServiceTimeEstimator()
        self.failures.restart(self.service_time)

    def load(self, now: float) -> LoadReport:
        """Return a load report with the next sequence number."""
        self._sequence += 1
        service_ms = self.service_ms(now)
        return LoadReport(
            state=self.state(now),
            slots=self.slots,
            busy=self.table.busy_slots(now),
            waiting=self.policy.backlog(now, service_ms),
            open_flows=self.table.live_count,
            # Includes the cost of failures, by which balancers place flows. The
            # admission uses the time without it, as a failing server doesn't
            # make flows wait.
            service_ms=round(service_ms + self.failures.penalty_ms(now), 1),
            knows_all=self.knows_all,
            sequence=self._sequence,
        )

    def _record_listed(self, listed: EndpointRecord) -> None:
        # A server may become cold without a restart, and then writes how long
        # it stays so. Each record states an upper bound.
        if listed.revision != self._listed_revision:
            self._listed_revision = listed.revision
            warmup_s = listed.warmup_ms / MS_PER_S
            self._listed_cold_until = self.view.clock() + warmup_s

    def _update_pace(self) -> None:
        """Apply the warm-up rate of the service and the server's cold time."""
        warmup = self.view.routes.warmups.get(self.service)
        if warmup is None:
            if self._pace is not None:
                self._pace.cold_until = float('-inf')
            return
        pace = self._pace or self._create_pace()
        self._pace = pace
        before = (pace.limit, pace.cold_until)
        pace.limit = warmup.per_s * self.warmup_overage + self.warmup_slack
        pace.cold_until = max(
            self._listed_cold_until,
            self._found_at + warmup.seconds,
        )
        if self._listed_revision is None and not self.is_first_start:
            pace.cold_until = float('inf')
        if self.knows_all:
            pace.closed_until = float('-inf')
        if before != (pace.limit, pace.cold_until):
            self._log_pace(pace)

    def _log_pace(self, pace: 'ColdPace') -> None:
        left_s = pace.cold_until - self.view.clock()
        if left_s > 0:
            is_bounded = math.isfinite(left_s)
            logger.info(
                'warmup-limited',
                extra={
                    'limit': pace.limit,
                    'left_ms': int(left_s * MS_PER_S) if is_bounded else None,
                },
            )

    def _create_pace(self) -> 'ColdPace':
        from dragonflyshift._internal.carried.policies.cold_pace import (
            ColdPace,
        )

        # Adopted flows have no first packet: the server got it before.
        starts = (flow.added_at for flow in self.table if flow.first_packet_raw)
        return ColdPace.after_starts(
            self.view.clock(),
            starts,
            self._created_at,
        )
