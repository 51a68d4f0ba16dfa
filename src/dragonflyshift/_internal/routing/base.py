"""Abstract base classes of routing policies.

Each decision is a pure function of its arguments, so that balancers with
the same view make the same decision and policies can be tested without
sockets.
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
class RoutingScope:
    """The location of the deciding process and its locality rule.

    ``locality`` is the largest area whose endpoints are ranked as equally
    near.
    """

    data_center: str
    region: str
    locality: Locality = Locality.DATA_CENTER


@frozen
class Candidate:
    """An endpoint with its last known state.

    ``endpoint.state`` comes from the configuration, ``state`` from the
    membership protocol. ``reachable`` is False if the deciding process can't
    reach the endpoint with its own traffic.
    """

    endpoint: Endpoint
    state: MemberState = MemberState.ALIVE
    reachable: bool = True


@frozen
class LoadSnapshot:
    """The current load of the deciding sidecar."""

    state: MemberState
    connections: int
    connection_limit: int
    free_slots: int
    queued: int


class CandidateChoice(Plugin, kind='candidate-choice'):
    """Chooses endpoints for a new flow."""

    @abstractmethod
    def rank(
        self,
        flow_key: bytes,
        candidates: Sequence[Candidate],
        scope: RoutingScope,
        limit: int = 2,
    ) -> tuple[Candidate, ...]:
        """Return at most ``limit`` candidates, the preferred one first.

        An endpoint that is leaving, dead or unreachable is not returned while
        another exists. An empty tuple means that the flow can't be placed.
        """


class FlowDecision(Plugin, kind='flow-decision'):
    """Decides at a sidecar whether it keeps a new flow."""

    @abstractmethod
    def accepts(
        self,
        own: LoadSnapshot,
        second: MemberRecord | None,
        hops: int,
    ) -> bool:
        """Return whether to keep the flow instead of passing it on.

        ``second`` is the record of the second candidate, or None if it is
        unknown. ``hops`` is how often the flow has been passed on already.
        If False is returned, the flow table passes the flow on to the second
        candidate.
        """


class PeerChoice(Plugin, kind='peer-choice'):
    """Chooses the peers that may run a request."""

    @abstractmethod
    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return at most ``limit`` peers to claim a slot at, best first."""

    @abstractmethod
    def choose_freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Return at most one peer that should run a request instead.

        This is called while this sidecar has ``own_free`` free slots. An
        empty tuple means that the request should run at this sidecar.
        """
