"""Effect of evacuated data centres on the new flows at a sidecar."""

from collections.abc import Callable

from dragonflyshift._internal.config.evacuation import (
    EvacuationLog,
    serving_endpoints,
)
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.membership import MemberTable
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.routing import (
    Candidate,
    CandidateChoice,
    RoutingScope,
)
from dragonflyshift._internal.telemetry import Metrics


class SidecarEvacuation:
    """Keeps new flows out of evacuated data centres.

    Balancers that have not read the newest document still send new flows to
    evacuated sidecars, and choose their second candidates there too.
    """

    def __init__(
        self,
        settings: Settings,
        service: Callable[[], ServiceDocument],
        members: MemberTable,
        choice: CandidateChoice,
        metrics: Metrics,
    ) -> None:
        """Read the service document in force with ``service``.

        No evacuation applies before the first update.
        """
        self._settings = settings
        self._service = service
        self._members = members
        self._choice = choice
        self._metrics = metrics
        self._reported_flows = 0
        self._evacuated: frozenset[Address] = frozenset()
        self.log = EvacuationLog()

    @property
    def applies(self) -> bool:
        """Whether this sidecar is in an evacuated data centre."""
        return self._settings.listen in self._evacuated

    def update(self) -> None:
        """Apply the evacuations of the document in force."""
        service = self._service()
        self._evacuated = service.evacuated_addresses()
        self.log.update((service,))
        self._metrics.gauge(
            'evacuated-data-centers',
            len(self.log.data_centers),
        )

    def report_flows(self, flows: int) -> None:
        """Set the gauge of the flows that are left in an evacuation."""
        left = flows if self.applies else 0
        if left != self._reported_flows:
            self._reported_flows = left
            self._metrics.gauge('evacuated-flows-left', left)

    def choose_second(
        self,
        flow_key: bytes,
        second: Address | None,
    ) -> Address | None:
        """Return the second candidate, or one outside an evacuation.

        Returns None if there is none, and the flow is refused or kept here.
        """
        if second is not None and second not in self._evacuated:
            return second
        if not self.applies:
            return None
        chosen = self._choose_elsewhere(flow_key)
        if chosen is not None:
            self._metrics.incr('evacuation-redirects')
        return chosen

    def _choose_elsewhere(self, flow_key: bytes) -> Address | None:
        service = self._service()
        # The ranking caches tuples, and this list is used once.
        candidates = [
            Candidate(endpoint, self._members.state_of(endpoint.address))
            for endpoint in serving_endpoints(service)
        ]
        scope = RoutingScope(
            self._settings.data_center,
            self._settings.region,
            service.rules.locality,
        )
        ranked = self._choice.rank(flow_key, candidates, scope, limit=1)
        return ranked[0].endpoint.address if ranked else None
