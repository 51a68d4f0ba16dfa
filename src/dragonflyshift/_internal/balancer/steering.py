"""Steering: the choice of the sidecar for a client's packet."""

import enum
from abc import abstractmethod
from collections.abc import Callable

from attrs import frozen

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.models import Address, ServiceDocument
from dragonflyshift._internal.routing import (
    Candidate,
    CandidateChoice,
    RoutingScope,
)
from dragonflyshift._internal.wire.connection_id import ConnectionIdCodec

CandidateProvider = Callable[[ServiceDocument], tuple[Candidate, ...]]


class SteeringResult(enum.StrEnum):
    """Why a packet is forwarded or dropped.

    OWNED and NEW_FLOW packets are forwarded, all others are dropped.
    """

    OWNED = 'owned'
    NEW_FLOW = 'new-flow'
    MALFORMED = 'malformed'
    FOREIGN_ID = 'foreign-id'
    TOO_SHORT = 'too-short'
    NO_ENDPOINT = 'no-endpoint'


@frozen
class SteeringDecision:
    """The result of steering a packet.

    ``target`` is the sidecar that receives the packet, None if it is dropped.
    For a new flow, ``ranked`` lists the chosen candidates, the best first, and
    ``second_candidate`` is the second of them, if any. ``flow_key`` is the key
    by which they were ranked.
    """

    result: SteeringResult
    target: Address | None = None
    second_candidate: Address | None = None
    flow_key: bytes = b''
    ranked: tuple[Candidate, ...] = ()


@frozen
class SteeringContext:
    """The data and callbacks that a steering plug-in uses.

    ``find_candidates`` returns a service's endpoints with their latest state.
    """

    codec: ConnectionIdCodec
    choice: CandidateChoice
    find_candidates: CandidateProvider
    data_center: str
    region: str


class Steering(Plugin, kind='steering'):
    """Chooses the sidecar for each packet from a client."""

    def __init__(self, context: SteeringContext) -> None:
        """Store the context."""
        self.context = context

    @abstractmethod
    def decide(
        self,
        service: ServiceDocument,
        packet: bytes,
        client: Address,
    ) -> SteeringDecision:
        """Return the sidecar for a packet, or the reason to drop it."""

    def place_new_flow(
        self, service: ServiceDocument, flow_key: bytes
    ) -> SteeringDecision:
        """Choose the first and second candidate for a new flow.

        ``flow_key`` is the key by which the candidates are ranked.
        """
        scope = RoutingScope(
            self.context.data_center,
            self.context.region,
            service.rules.locality,
        )
        candidates = self.context.find_candidates(service)
        ranked = self.context.choice.rank(flow_key, candidates, scope)
        if not ranked:
            return SteeringDecision(
                SteeringResult.NO_ENDPOINT, flow_key=flow_key
            )
        second_candidate = (
            ranked[1].endpoint.address if len(ranked) > 1 else None
        )
        return SteeringDecision(
            SteeringResult.NEW_FLOW,
            ranked[0].endpoint.address,
            second_candidate,
            flow_key,
            ranked,
        )
