"""Naive steering: a flow table in each balancer."""

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
_FlowKey = tuple[int, Address]


class FlowTable(Steering, name='flow-table'):
    """Send a client where its first packet through this balancer went.

    A client that the table doesn't know is hashed over the endpoints, so
    balancers agree only as long as they see the same list.
    """

    def __init__(self, context: SteeringContext) -> None:
        """Start with an empty table."""
        super().__init__(context)
        self._flows: OrderedDict[_FlowKey, Address] = OrderedDict()

    def decide(
        self,
        service: ServiceDocument,
        packet: bytes,
        client: Address,
    ) -> SteeringDecision:
        """Return where a packet to ``service`` goes."""
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
        """Choose an endpoint for a new flow; there is no second one."""
        return evolve(super().place_new_flow(service, flow_key), second=None)
