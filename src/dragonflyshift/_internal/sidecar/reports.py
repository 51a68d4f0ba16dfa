"""Reports of a sidecar to the command line."""

import time
from collections.abc import Callable
from typing import Any

from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.config.evacuation import EvacuationLog
from dragonflyshift._internal.control import ReportProvider
from dragonflyshift._internal.control.reporting import (
    describe_evacuations,
    describe_members,
)
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.membership import MemberTable
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.wire.messages import RouteRequest


class SidecarReports(ReportProvider):
    """Reports the state of the sidecar."""

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        members: MemberTable,
        admission: Admission,
        count_flows: Callable[[], int],
        metrics: Metrics,
        evacuations: EvacuationLog,
    ) -> None:
        """Read from the given components without changing them."""
        self._settings = settings
        self._store = store
        self._members = members
        self._admission = admission
        self._count_flows = count_flows
        self._metrics = metrics
        self._evacuations = evacuations

    def status(self) -> dict[str, Any]:
        """Return the status of the sidecar."""
        return {
            'role': 'sidecar',
            'instance': self._settings.instance,
            'service': self._settings.service,
            'data_center': self._settings.data_center,
            'version': self._store.versions(),
            'members': describe_members(self._members.records()),
            'flows': self._count_flows(),
            'slots': self._admission.capacity(time.monotonic()),
            'running': self._admission.running,
            'queued': self._admission.queued,
            'counters': dict(self._metrics.snapshot()),
            'evacuated': describe_evacuations(self._evacuations),
        }

    def route(self, request: RouteRequest) -> dict[str, Any]:
        """Return an empty decision, since only balancers steer packets."""
        return {
            'decision': 'none',
            'reason': 'a sidecar steers no packets; ask a balancer',
            'candidates': [],
        }
