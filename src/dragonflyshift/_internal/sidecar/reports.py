"""What a sidecar tells the command line."""

import time
from collections.abc import Callable
from typing import Any

from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.control import ReportProvider
from dragonflyshift._internal.control.reporting import describe_members
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.membership import MemberTable
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.wire.messages import RouteRequest


class SidecarReports(ReportProvider):
    """Describe the sidecar's view."""

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        members: MemberTable,
        admission: Admission,
        flows: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        """Read from the sidecar's own parts; change none."""
        self._settings = settings
        self._store = store
        self._members = members
        self._admission = admission
        self._flows = flows
        self._metrics = metrics

    def status(self) -> dict[str, Any]:
        """Describe the daemon's view."""
        return {
            'role': 'sidecar',
            'instance': self._settings.instance,
            'service': self._settings.service,
            'data_center': self._settings.data_center,
            'version': self._store.versions(),
            'members': describe_members(self._members.records()),
            'flows': self._flows(),
            'slots': self._admission.capacity(time.monotonic()),
            'running': self._admission.running,
            'queued': self._admission.queued,
            'counters': dict(self._metrics.snapshot()),
        }

    def route(self, request: RouteRequest) -> dict[str, Any]:
        """Refuse: only balancers steer."""
        return {
            'decision': 'none',
            'reason': 'a sidecar steers no packets; ask a balancer',
            'candidates': [],
        }
