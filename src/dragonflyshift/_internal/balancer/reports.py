"""What a balancer tells the command line."""

from typing import Any

from dragonflyshift._internal.balancer.steering import Decision, Steering
from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.control import ReportProvider
from dragonflyshift._internal.control.reporting import describe_members
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.routing import Candidate
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.wire.messages import RouteRequest

_NO_CLIENT = Address('0.0.0.0', 1)  # stands for no client


class BalancerReports(ReportProvider):
    """Describe the balancer's view and explain its decisions."""

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        views: ServiceViews,
        steering: Steering,
        metrics: Metrics,
    ) -> None:
        """Read from the balancer's own parts; change none."""
        self._settings = settings
        self._store = store
        self._views = views
        self._steering = steering
        self._metrics = metrics

    def status(self) -> dict[str, Any]:
        """Describe the daemon's view."""
        index = self._store.index
        services = index.services if index else ()
        members = [
            record
            for entry in services
            for record in self._views.table(entry.tag).records()
        ]
        return {
            'role': 'balancer',
            'instance': str(self._settings.listen),
            'service': '',
            'data_center': self._settings.data_center,
            'version': self._store.versions(),
            'members': describe_members(members),
            'flows': 0,
            'slots': 0,
            'running': 0,
            'queued': 0,
            'counters': dict(self._metrics.snapshot()),
        }

    def route(self, request: RouteRequest) -> dict[str, Any]:
        """Explain where a packet or new flow would go."""
        try:
            address = Address.parse(request.service_address)
        except ConfigurationError as exc:
            return _refusal(exc.message)
        service = self._store.service_by_address(address)
        if service is None:
            return _refusal(f'no service has the address {address}')
        return self._explain(service, self._decide(service, request))

    def _decide(
        self,
        service: ServiceDocument,
        request: RouteRequest,
    ) -> Decision:
        if request.packet:
            return self._steering.decide(service, request.packet, _NO_CLIENT)
        return self._steering.place(service, request.flow_id)

    def _explain(
        self,
        service: ServiceDocument,
        decision: Decision,
    ) -> dict[str, Any]:
        return {
            'decision': str(decision.target or 'dropped'),
            'reason': str(decision.verdict),
            'service': service.name,
            'candidates': [
                _describe(candidate, rank)
                for rank, candidate in enumerate(decision.ranked, start=1)
            ],
        }


def _refusal(reason: str) -> dict[str, Any]:
    return {'decision': 'dropped', 'reason': reason, 'candidates': []}


def _describe(candidate: Candidate, rank: int) -> dict[str, Any]:
    return {
        'name': candidate.endpoint.name,
        'address': str(candidate.endpoint.address),
        'state': candidate.state.name.lower(),
        'reachable': candidate.reachable,
        'score': rank,
    }
