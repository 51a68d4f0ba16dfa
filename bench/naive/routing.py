"""Baseline routing: hashing modulo the number of endpoints, without peers."""

import random
from collections.abc import Sequence

import xxhash

from dragonflyshift._internal.models import (
    EndpointState,
    MemberRecord,
    MemberState,
)
from dragonflyshift._internal.routing import (
    Candidate,
    CandidateChoice,
    FlowDecision,
    LoadSnapshot,
    PeerChoice,
    RoutingScope,
)

_UNAVAILABLE_STATES = frozenset((MemberState.LEAVING, MemberState.DEAD))


class ModuloHashing(CandidateChoice, name='modulo'):
    """Picks the endpoint at the hash of the flow modulo the live endpoints.

    A change of the number of live endpoints moves most flows.
    """

    def rank(
        self,
        flow_key: bytes,
        candidates: Sequence[Candidate],
        scope: RoutingScope,
        limit: int = 2,
    ) -> tuple[Candidate, ...]:
        """Return up to ``limit`` live endpoints, starting at the remainder.

        Endpoints that aren't serving and members that are leaving or dead are
        excluded.
        """
        live = [
            candidate
            for candidate in candidates
            if candidate.endpoint.state is EndpointState.SERVING
            and candidate.state not in _UNAVAILABLE_STATES
        ]
        if not live:
            return ()
        first = xxhash.xxh3_64_intdigest(flow_key) % len(live)
        return tuple((live[first:] + live[:first])[:limit])


class AlwaysAccept(FlowDecision, name='always'):
    """Accepts every flow at this sidecar."""

    def accepts(
        self,
        own: LoadSnapshot,
        second: MemberRecord | None,
        hops: int,
    ) -> bool:
        """Return True regardless of the load."""
        return True


class NoPeers(PeerChoice, name='none'):
    """Chooses no peer, so that no request is handed over."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return no peers for a request that can't start here."""
        return ()

    def choose_freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Return no peers, even if one has more free slots."""
        return ()
