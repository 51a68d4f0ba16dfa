"""Weighted rendezvous hashing in preference tiers.

Every balancer with the same view computes the same ranking, whatever the
order of its endpoints, and the removal of an endpoint moves only the flows
of that endpoint.
"""

import math
from collections.abc import Sequence
from itertools import groupby
from operator import attrgetter

import xxhash
from attrs import frozen

from dragonflyshift._internal.models import (
    EndpointState,
    Locality,
    MemberState,
)
from dragonflyshift._internal.routing.base import (
    Candidate,
    CandidateChoice,
    RoutingScope,
)

HASH_RANGE = 2.0**64
MAX_CACHED_TIERS = 1024

_SUSPECT_TIER = 1
_COLD_TIER = 2
_UNREACHABLE_TIER = 3
_DEAD_TIER = 4
_EXCLUDED = 5

_STATE_TIERS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: _SUSPECT_TIER,
    MemberState.COLD: _COLD_TIER,
    MemberState.LEAVING: _EXCLUDED,
    MemberState.DEAD: _DEAD_TIER,
}


@frozen
class _TierEntry:
    """A candidate with its tier and the values needed for hashing.

    ``rung`` is the tier: the health rank, then the distance rank.
    """

    rung: tuple[int, int]
    order: str
    seed: int
    scale: float
    candidate: Candidate


_Tiers = tuple[tuple[_TierEntry, ...], ...]


class Rendezvous(CandidateChoice, name='rendezvous'):
    """Ranks by health, then by distance, then by weighted hash.

    Health: alive, suspect, cold. Only if there is no such endpoint,
    unreachable ones are used, and then those reported dead, because the
    report may be wrong. An endpoint that is leaving is never returned.

    Distance: the locality rule sets the size of the nearest tier (the data
    centre, the region, or everywhere). Farther tiers are used only if the
    nearer ones have too few endpoints, so that a service stays reachable
    while any healthy endpoint exists.
    """

    def __init__(self) -> None:
        """Create a policy with an empty cache."""
        self._cache: dict[
            int,
            tuple[Sequence[Candidate], RoutingScope, _Tiers],
        ] = {}

    def rank(
        self,
        flow_key: bytes,
        candidates: Sequence[Candidate],
        scope: RoutingScope,
        limit: int = 2,
    ) -> tuple[Candidate, ...]:
        """Return at most ``limit`` candidates, the preferred one first.

        The tiers of a tuple are cached by its identity, so a caller with an
        unchanged view should pass the same object.
        """
        ranked: list[Candidate] = []
        for tier in self._cached_tiers(candidates, scope):
            ranked.extend(_rank_tier(flow_key, tier)[: limit - len(ranked)])
            if len(ranked) >= limit:
                break
        return tuple(ranked)

    def _cached_tiers(
        self,
        candidates: Sequence[Candidate],
        scope: RoutingScope,
    ) -> _Tiers:
        if not isinstance(candidates, tuple):
            return _build_tiers(candidates, scope)
        # The cache entry keeps the tuple alive, so its id isn't reused.
        known = self._cache.get(id(candidates))
        if known is not None and known[1] == scope:
            return known[2]
        if len(self._cache) >= MAX_CACHED_TIERS:
            self._cache.clear()
        tiers = _build_tiers(candidates, scope)
        self._cache[id(candidates)] = (candidates, scope, tiers)
        return tiers


def _rank_tier(
    flow_key: bytes, tier: tuple[_TierEntry, ...]
) -> list[Candidate]:
    hash_key = xxhash.xxh3_64_intdigest
    log = math.log
    costs = [
        -log((hash_key(flow_key, entry.seed) + 1) / HASH_RANGE) * entry.scale
        for entry in tier
    ]
    order = sorted(range(len(tier)), key=costs.__getitem__)
    return [tier[index].candidate for index in order]


def _build_tiers(
    candidates: Sequence[Candidate], scope: RoutingScope
) -> _Tiers:
    entries = [_build_entry(candidate, scope) for candidate in candidates]
    entries = [entry for entry in entries if entry.rung[0] != _EXCLUDED]
    usable = [entry for entry in entries if entry.rung[0] < _UNREACHABLE_TIER]
    if not usable:
        last_resort = min(
            (entry.rung[0] for entry in entries), default=_EXCLUDED
        )
        usable = [entry for entry in entries if entry.rung[0] == last_resort]
    usable.sort(key=attrgetter('rung', 'order'))
    return tuple(
        tuple(tier) for _key, tier in groupby(usable, attrgetter('rung'))
    )


def _build_entry(candidate: Candidate, scope: RoutingScope) -> _TierEntry:
    endpoint = candidate.endpoint
    order = str(endpoint.address)
    return _TierEntry(
        rung=(_health_tier(candidate), _distance_tier(candidate, scope)),
        order=order,
        seed=xxhash.xxh3_64_intdigest(order.encode()),
        scale=1 / endpoint.weight if endpoint.weight > 0 else math.inf,
        candidate=candidate,
    )


def _health_tier(candidate: Candidate) -> int:
    if candidate.endpoint.state is EndpointState.LEAVING:
        return _EXCLUDED
    tier = _STATE_TIERS[candidate.state]
    if candidate.reachable:
        return tier
    return max(tier, _UNREACHABLE_TIER)


def _distance_tier(candidate: Candidate, scope: RoutingScope) -> int:
    endpoint = candidate.endpoint
    if scope.locality is Locality.ANYWHERE:
        return 0
    if endpoint.region != scope.region:
        return 2
    if scope.locality is Locality.REGION:
        return 0
    return int(endpoint.data_center != scope.data_center)
