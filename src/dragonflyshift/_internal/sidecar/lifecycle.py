"""The member state that this sidecar reports for itself.

The sidecar is leaving while the configuration marks its endpoint as leaving
or no longer lists it, while the backend server drains, or after the process
was asked to stop. A leaving sidecar accepts no new work; running requests
continue. The endpoints of an evacuated data centre are marked as leaving. A
service that winds down doesn't change the member state: its sidecars refuse
new flows instead (see ``FlowTable``).
"""

import enum
import logging

from dragonflyshift._internal.membership import MemberTable
from dragonflyshift._internal.models import (
    Address,
    EndpointState,
    MemberState,
    ServiceDocument,
)
from dragonflyshift._internal.sidecar.backend_watch import BackendState

logger = logging.getLogger(__name__)


class LeaveReason(enum.StrEnum):
    """Why a sidecar is leaving."""

    CONFIGURATION = 'register'
    EVACUATION = 'evacuated'
    BACKEND = 'backend'
    STOPPING = 'stopping'


_CONFIGURED_REASONS = frozenset(
    (LeaveReason.CONFIGURATION, LeaveReason.EVACUATION),
)


class Lifecycle:
    """Derives the member state from the configuration and the backend."""

    def __init__(self, address: Address, members: MemberTable) -> None:
        """Start without a reason to leave, assuming a ready backend."""
        self._address = address
        self._members = members
        self._reasons: set[LeaveReason] = set()
        self._backend = BackendState.READY

    @property
    def leaving(self) -> bool:
        """Whether any reason to leave applies."""
        return bool(self._reasons)

    @property
    def accepts_work(self) -> bool:
        """Whether new flows and requests may start on this sidecar."""
        return not self._reasons and self._backend is BackendState.READY

    @property
    def runs_own_requests(self) -> bool:
        """Whether requests of own flows may run here if no peer takes them.

        An evacuation can leave the peers without free slots, while the
        backend server here still runs.
        """
        return (
            LeaveReason.EVACUATION in self._reasons
            and self._reasons <= _CONFIGURED_REASONS
            and self._backend is BackendState.READY
        )

    def stop(self) -> None:
        """Leave permanently, because the process was asked to stop."""
        self._set_reason(LeaveReason.STOPPING, present=True)

    def document_changed(self, service: ServiceDocument) -> None:
        """Apply the configured state of this endpoint."""
        states = {item.address: item.state for item in service.endpoints}
        state = states.get(self._address, EndpointState.LEAVING)
        is_leaving = state is EndpointState.LEAVING
        self._set_reason(LeaveReason.CONFIGURATION, present=is_leaving)
        self._set_reason(
            LeaveReason.EVACUATION,
            present=is_leaving
            and self._address in service.evacuated_addresses(),
        )

    def backend_changed(self, state: BackendState) -> None:
        """Apply a new state of the backend server."""
        self._backend = state
        self._set_reason(
            LeaveReason.BACKEND,
            present=state is BackendState.DRAINING,
        )

    def publish_state(self) -> None:
        """Set the current state in the own member record."""
        if self._reasons:
            state = MemberState.LEAVING
        elif self._backend is BackendState.READY:
            state = MemberState.ALIVE
        else:
            state = MemberState.COLD
        self._members.set_own_state(state)

    def _set_reason(self, reason: LeaveReason, *, present: bool) -> None:
        if present and reason not in self._reasons:
            logger.info('leaving', extra={'reason': reason.value})
            self._reasons.add(reason)
        elif not present and reason in self._reasons:
            logger.info('staying', extra={'reason': reason.value})
            self._reasons.discard(reason)
        self.publish_state()
