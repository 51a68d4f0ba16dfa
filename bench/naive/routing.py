"""Naive routing: modulo on the live list, and no help from peers."""

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

_GONE = frozenset((MemberState.LEAVING, MemberState.DEAD))


class Modulo(CandidateChoice, name='modulo'):
    """Hash the flow and take the remainder by the number of live endpoints."""

    def rank(
        self,
        flow_key: bytes,
        candidates: Sequence[Candidate],
        scope: RoutingScope,
        limit: int = 2,
    ) -> tuple[Candidate, ...]:
        """Return the endpoint at the remainder and those after it."""
        live = [
            candidate
            for candidate in candidates
            if candidate.endpoint.state is EndpointState.SERVING
            and candidate.state not in _GONE
        ]
        if not live:
            return ()
        first = xxhash.xxh3_64_intdigest(flow_key) % len(live)
        return tuple((live[first:] + live[:first])[:limit])


class Always(FlowDecision, name='always'):
    """Keep every flow."""

    def accepts(
        self,
        own: LoadSnapshot,
        second: MemberRecord | None,
        hops: int,
    ) -> bool:
        """Keep the flow whatever the load."""
        return True


class NoPeers(PeerChoice, name='none'):
    """Hand no request over."""

    def order(
        self,
        peers: Sequence[MemberRecord],
        rng: random.Random,
        limit: int,
    ) -> tuple[MemberRecord, ...]:
        """Return no peer."""
        return ()

    def choose_freer(
        self,
        own_free: int,
        peers: Sequence[MemberRecord],
        rng: random.Random,
    ) -> tuple[MemberRecord, ...]:
        """Run every request here."""
        return ()
