"""Where a balancer sends a client's packet, and why."""

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

CandidateView = Callable[[ServiceDocument], tuple[Candidate, ...]]


class Verdict(enum.StrEnum):
    """What happens to a packet."""

    OWNED = 'owned'
    NEW_FLOW = 'new-flow'
    MALFORMED = 'malformed'
    FOREIGN_ID = 'foreign-id'
    TOO_SHORT = 'too-short'
    NO_ENDPOINT = 'no-endpoint'


@frozen
class Decision:
    """A verdict, with the sidecar that gets the packet if there is one."""

    verdict: Verdict
    target: Address | None = None
    second: Address | None = None
    flow_key: bytes = b''
    ranked: tuple[Candidate, ...] = ()


@frozen
class SteeringContext:
    """What a steering plug-in decides with.

    ``view`` returns the newest word on a service's endpoints.
    """

    codec: ConnectionIdCodec
    choice: CandidateChoice
    view: CandidateView
    data_center: str
    region: str


class Steering(Plugin, kind='steering'):
    """Choose the sidecar for each packet from a client."""

    def __init__(self, context: SteeringContext) -> None:
        """Keep what decisions are made with."""
        self.context = context

    @abstractmethod
    def decide(
        self,
        service: ServiceDocument,
        packet: bytes,
        client: Address,
    ) -> Decision:
        """Return where a packet to ``service`` goes."""

    def place(self, service: ServiceDocument, flow_key: bytes) -> Decision:
        """Choose the first and second candidate for a new flow."""
        scope = RoutingScope(
            self.context.data_center,
            self.context.region,
            service.rules.locality,
        )
        candidates = self.context.view(service)
        ranked = self.context.choice.rank(flow_key, candidates, scope)
        if not ranked:
            return Decision(Verdict.NO_ENDPOINT, flow_key=flow_key)
        second = ranked[1].endpoint.address if len(ranked) > 1 else None
        return Decision(
            Verdict.NEW_FLOW,
            ranked[0].endpoint.address,
            second,
            flow_key,
            ranked,
        )
