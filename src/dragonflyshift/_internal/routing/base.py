"""Abstract bases for decisions on where flows and requests go.

Each decision is a pure function of its arguments, so that balancers with
the same view decide alike and the policies can be tested without sockets.
"""

import random
from abc import abstractmethod
from collections.abc import Sequence

from attrs import frozen

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.models import (
    Endpoint,
    Locality,
    MemberRecord,
    MemberState,
)


@frozen
class Place:
    """Where the deciding process stands and how far it may look."""

    data_center: str
    region: str
    locality: Locality = Locality.DATA_CENTER


@frozen
class Candidate:
    """An endpoint with the newest word on it.

    ``reachable`` is the judgement from the decider's own traffic.
    """

    endpoint: Endpoint
    state: MemberState = MemberState.ALIVE
    reachable: bool = True


@frozen
class LoadSnapshot:
    """A sidecar's exact load at the moment of a decision."""

    state: MemberState
    connections: int
    connection_limit: int
    free_slots: int
    queued: int


class CandidateChoice(Plugin, kind='candidate-choice'):
    """Choose endpoints for a new flow."""

    @abstractmethod
    def rank(
        self,
        flow_key: bytes,
        candidates: Sequence[Candidate],
        place: Place,
        limit: int = 2,
    ) -> tuple[Candidate, ...]:
        """Return at most ``limit`` candidates, the preferred one first.

        An endpoint that leaves, is dead or unreachable is not returned while
        another exists; an empty tuple means that the flow can't be placed.
        """


class FlowDecision(Plugin, kind='flow-decision'):
    """Decide at the first sidecar whether a new flow stays there."""

    @abstractmethod
    def accepts(
        self,
        own: LoadSnapshot,
        second: MemberRecord | None,
        hops: int,
    ) -> bool:
        """Tell whether to keep the flow instead of passing it on once."""


class PeerChoice(Plugin, kind='peer-choice'):
    """Order the peers that might run a request for this sidecar."""

    @abstractmethod
    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return at most ``limit`` peers worth asking, best first."""

    @abstractmethod
    def freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Return the peer, if any, to run a request in place of this sidecar.

        Called while this sidecar has ``own_free`` free slots itself. At most
        one peer; none when the request should run here.
        """
