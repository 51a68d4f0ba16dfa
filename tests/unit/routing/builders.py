"""Builders of candidates and member records for routing tests."""

from dragonflyshift._internal.models import (
    Address,
    Endpoint,
    EndpointState,
    Incarnation,
    MemberRecord,
    MemberState,
)
from dragonflyshift._internal.routing import Candidate, RoutingScope

SCOPE = RoutingScope(data_center='adama', region='oromia')


def build_candidate(
    number: int,
    *,
    data_center: str = 'adama',
    region: str = 'oromia',
    weight: float = 1,
    endpoint_state: EndpointState = EndpointState.SERVING,
    state: MemberState = MemberState.ALIVE,
    reachable: bool = True,
) -> Candidate:
    endpoint = Endpoint(
        name=f'parts-{number}',
        address=Address('192.0.2.1', 1000 + number),
        data_center=data_center,
        region=region,
        slots=4,
        weight=weight,
        state=endpoint_state,
    )
    return Candidate(endpoint, state, reachable)


def build_member(
    number: int,
    free_slots: int = 0,
    queued: int = 0,
    state: MemberState = MemberState.ALIVE,
) -> MemberRecord:
    return MemberRecord(
        address=Address('192.0.2.1', 1000 + number),
        incarnation=Incarnation(boot=1),
        state=state,
        free_slots=free_slots,
        queued=queued,
    )
