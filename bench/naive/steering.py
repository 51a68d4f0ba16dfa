"""Baseline steering with a separate flow table in each balancer."""

from collections import OrderedDict

from attrs import evolve

from dragonflyshift._internal.balancer import (
    Steering,
    SteeringContext,
    SteeringDecision,
    SteeringResult,
)
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.wire.envelope import pack_address

MAX_FLOWS = 100_000
# The tag of a service and the address of its client.
_ClientKey = tuple[int, Address]


class FlowTableSteering(Steering, name='flow-table'):
    """Sends all packets of a client to the endpoint of its first packet.

    The endpoint of a client that isn't in the table is chosen by a hash over
    the endpoints, so balancers agree only while they have the same list. The
    table holds ``MAX_FLOWS`` entries and evicts the oldest one.
    """

    def __init__(self, context: SteeringContext) -> None:
        """Create an empty flow table."""
        super().__init__(context)
        self._flows: OrderedDict[_ClientKey, Address] = OrderedDict()

    def decide(
        self,
        service: ServiceDocument,
        packet: bytes,
        client: Address,
    ) -> SteeringDecision:
        """Return the stored endpoint of the client, or choose and store one."""
        key = (service.tag, client)
        target = self._flows.get(key)
        if target is not None:
            return SteeringDecision(SteeringResult.OWNED, target)
        decision = self.place_new_flow(service, pack_address(client))
        if decision.target is not None:
            self._flows[key] = decision.target
            if len(self._flows) > MAX_FLOWS:
                self._flows.popitem(last=False)
        return decision

    def place_new_flow(
        self, service: ServiceDocument, flow_key: bytes
    ) -> SteeringDecision:
        """Choose an endpoint for a new flow, without a second candidate."""
        return evolve(
            super().place_new_flow(service, flow_key), second_candidate=None
        )
