"""Assigns the flows of the simulation to sidecars."""

# Plug-ins are looked up by their abstract base class, which mypy's
# type-abstract check forbids as a type argument.
# mypy: disable-error-code="type-abstract"

from collections.abc import Sequence

from bench.policies.sidecar import Policies, Sidecar
from bench.policies.trace import REGION, Arrival
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.models import Locality
from dragonflyshift._internal.routing import (
    Candidate,
    CandidateChoice,
    FlowDecision,
    RoutingScope,
)


class Placement:
    """Places each flow once, as a balancer and the first candidate do."""

    def __init__(
        self,
        policies: Policies,
        locality: Locality,
        sidecars: Sequence[Sidecar],
    ) -> None:
        """Make all sidecars candidates."""
        self._choice = find_plugin(CandidateChoice, policies.candidates)()
        self._decision = find_plugin(FlowDecision, policies.decision)()
        self._locality = locality
        self._by_address = {each.endpoint.address: each for each in sidecars}
        self._candidates = tuple(Candidate(each.endpoint) for each in sidecars)
        self._owners: dict[int, Sidecar] = {}

    def owner(self, arrival: Arrival, now: float) -> Sidecar:
        """Return the sidecar that owns the flow; place a new flow first."""
        owner = self._owners.get(arrival.flow)
        if owner is None:
            owner = self._place(arrival, now)
            self._owners[arrival.flow] = owner
        return owner

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
        accepted = self._decision.accepts(first.load(now), record, 0)
        return first if accepted else second
