"""Reports of a balancer for the command line."""

from typing import Any

from dragonflyshift._internal.balancer.steering import (
    Steering,
    SteeringDecision,
)
from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.config.evacuation import EvacuationLog
from dragonflyshift._internal.control import ReportProvider
from dragonflyshift._internal.control.reporting import (
    describe_evacuations,
    describe_members,
)
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.routing import Candidate
from dragonflyshift._internal.telemetry import Metrics
from dragonflyshift._internal.wire.messages import RouteRequest

_NO_CLIENT = Address('0.0.0.0', 1)  # a route request has no client


class BalancerReports(ReportProvider):
    """Reports the balancer's status and explains its steering decisions."""

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        views: ServiceViews,
        steering: Steering,
        metrics: Metrics,
        evacuations: EvacuationLog,
    ) -> None:
        """Store the balancer's components, which are only read."""
        self._settings = settings
        self._store = store
        self._views = views
        self._steering = steering
        self._metrics = metrics
        self._evacuations = evacuations

    def status(self) -> dict[str, Any]:
        """Return the status report of this balancer."""
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
            'evacuated': describe_evacuations(self._evacuations),
        }

    def route(self, request: RouteRequest) -> dict[str, Any]:
        """Return where a packet or new flow would be sent, and why."""
        try:
            address = Address.parse(request.service_address)
        except ConfigurationError as exc:
            return _dropped_report(exc.message)
        service = self._store.service_by_address(address)
        if service is None:
            return _dropped_report(f'no service has the address {address}')
        return self._explain(service, self._decide(service, request))

    def _decide(
        self,
        service: ServiceDocument,
        request: RouteRequest,
    ) -> SteeringDecision:
        if request.packet:
            return self._steering.decide(service, request.packet, _NO_CLIENT)
        return self._steering.place_new_flow(service, request.flow_id)

    def _explain(
        self,
        service: ServiceDocument,
        decision: SteeringDecision,
    ) -> dict[str, Any]:
        return {
            'decision': str(decision.target or 'dropped'),
            'reason': str(decision.result),
            'service': service.name,
            'candidates': [
                _describe_candidate(candidate, rank)
                for rank, candidate in enumerate(decision.ranked, start=1)
            ],
        }


def _dropped_report(reason: str) -> dict[str, Any]:
    return {'decision': 'dropped', 'reason': reason, 'candidates': []}


def _describe_candidate(candidate: Candidate, rank: int) -> dict[str, Any]:
    return {
        'name': candidate.endpoint.name,
        'address': str(candidate.endpoint.address),
        'state': candidate.state.name.lower(),
        'reachable': candidate.reachable,
        'score': rank,
    }
