"""The sidecar's own state among the members of its service.

Four reasons make it leave: the register says so (or no longer lists it), the
backend server drains, the service winds down, or the process was told to
stop. While any of them holds it takes no new work; what runs goes on.
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
    """Why a sidecar takes no new work."""

    REGISTER = 'register'
    BACKEND = 'backend'
    STOPPING = 'stopping'


class Lifecycle:
    """Turn what is known of the instance into its member state."""

    def __init__(self, address: Address, members: MemberTable) -> None:
        """Start cold until the backend server has been seen."""
        self._address = address
        self._members = members
        self._reasons: set[LeaveReason] = set()
        self._backend = BackendState.READY

    @property
    def leaving(self) -> bool:
        """Whether new work goes elsewhere."""
        return bool(self._reasons)

    @property
    def takes_work(self) -> bool:
        """Whether new flows and requests may run here."""
        return not self._reasons and self._backend is BackendState.READY

    def stop(self) -> None:
        """Leave for good: the process was told to stop."""
        self._set_reason(LeaveReason.STOPPING, present=True)

    def document_changed(self, service: ServiceDocument) -> None:
        """Read what the register says of this endpoint."""
        states = {item.address: item.state for item in service.endpoints}
        state = states.get(self._address, EndpointState.LEAVING)
        self._set_reason(
            LeaveReason.REGISTER,
            present=state is EndpointState.LEAVING,
        )

    def backend_changed(self, state: BackendState) -> None:
        """Take note of what the backend server says."""
        self._backend = state
        self._set_reason(
            LeaveReason.BACKEND,
            present=state is BackendState.DRAINING,
        )

    def refresh(self) -> None:
        """Tell the members the state that follows from what is known."""
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
        self.refresh()
