"""Where the model's flows have their home."""

# Plug-ins are looked up by their abstract base, which is what mypy's
# type-abstract forbids for type arguments.
# mypy: disable-error-code="type-abstract"

from collections.abc import Sequence

from bench.policy_sidecar import Policies, Sidecar
from bench.policy_trace import REGION, Arrival
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.models import Locality
from dragonflyshift._internal.routing import (
    Candidate,
    CandidateChoice,
    FlowDecision,
    RoutingScope,
)


class Placement:
    """Place each flow once, as a balancer and its first sidecar do."""

    def __init__(
        self,
        policies: Policies,
        locality: Locality,
        sidecars: Sequence[Sidecar],
    ) -> None:
        """Know all sidecars as alive."""
        self._choice = find_plugin(CandidateChoice, policies.candidates)()
        self._decision = find_plugin(FlowDecision, policies.decision)()
        self._locality = locality
        self._by_address = {each.endpoint.address: each for each in sidecars}
        self._candidates = tuple(Candidate(each.endpoint) for each in sidecars)
        self._homes: dict[int, Sidecar] = {}

    def home(self, arrival: Arrival, now: float) -> Sidecar:
        """Return the flow's sidecar, placing the flow if it is new."""
        home = self._homes.get(arrival.flow)
        if home is None:
            home = self._place(arrival, now)
            self._homes[arrival.flow] = home
        return home

    def _place(self, arrival: Arrival, now: float) -> Sidecar:
        ranked = self._choice.rank(
            arrival.flow.to_bytes(8),
            self._candidates,
            RoutingScope(arrival.data_center, REGION, self._locality),
        )
        first, second = (
            self._by_address[each.endpoint.address] for each in ranked
        )
        known = {each.address: each for each in first.view}
        record = known.get(second.endpoint.address)
        keeps = self._decision.accepts(first.load(now), record, 0)
        return first if keeps else second
