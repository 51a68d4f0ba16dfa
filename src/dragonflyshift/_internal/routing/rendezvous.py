"""Weighted rendezvous hashing with a preference ladder.

Every balancer with the same view ranks alike, whatever the order in which
it holds the endpoints, and an endpoint that goes moves only its own flows.
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
    Place,
)

HASH_RANGE = 2.0**64
MAX_LADDERS = 1024

_SUSPECT_RUNG = 1
_COLD_RUNG = 2
_UNREACHABLE_RUNG = 3
_DEAD_RUNG = 4
_NEVER = 5

_STATE_RUNGS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: _SUSPECT_RUNG,
    MemberState.COLD: _COLD_RUNG,
    MemberState.LEAVING: _NEVER,
    MemberState.DEAD: _DEAD_RUNG,
}


@frozen
class _Step:
    """A candidate with its place on the ladder, ready for hashing."""

    rung: tuple[int, int]
    order: str
    seed: int
    scale: float
    candidate: Candidate


_Ladder = tuple[tuple[_Step, ...], ...]


class Rendezvous(CandidateChoice, name='rendezvous'):
    """Rank by health, then by distance, then by weighted hash.

    Health: alive, suspect, cold; when none of these is left unreachable
    ones, and last those believed dead, because the belief may be wrong. An
    endpoint that leaves is never returned.

    Distance: the locality rule says how wide the first rung is (the data
    center, the region, or everywhere). Wider rungs follow only when the
    narrower ones hold too few, so that a service stays reachable while any
    healthy endpoint exists.
    """

    def __init__(self) -> None:
        """Start without prepared ladders."""
        self._ladders: dict[
            int,
            tuple[Sequence[Candidate], Place, _Ladder],
        ] = {}

    def rank(
        self,
        flow_key: bytes,
        candidates: Sequence[Candidate],
        place: Place,
        limit: int = 2,
    ) -> tuple[Candidate, ...]:
        """Return at most ``limit`` candidates, the preferred one first.

        A tuple that is passed again is not prepared again, so a caller with
        an unchanged view should pass the same object.
        """
        ranked: list[Candidate] = []
        for rung in self._ladder(candidates, place):
            ranked.extend(_rank_rung(flow_key, rung)[: limit - len(ranked)])
            if len(ranked) >= limit:
                break
        return tuple(ranked)

    def _ladder(
        self,
        candidates: Sequence[Candidate],
        place: Place,
    ) -> _Ladder:
        if not isinstance(candidates, tuple):
            return _build_ladder(candidates, place)
        # The entry keeps the tuple alive, so its id is not used again.
        known = self._ladders.get(id(candidates))
        if known is not None and known[1] == place:
            return known[2]
        if len(self._ladders) >= MAX_LADDERS:
            self._ladders.clear()
        ladder = _build_ladder(candidates, place)
        self._ladders[id(candidates)] = (candidates, place, ladder)
        return ladder


def _rank_rung(flow_key: bytes, rung: tuple[_Step, ...]) -> list[Candidate]:
    hash_key = xxhash.xxh3_64_intdigest
    log = math.log
    costs = [
        -log((hash_key(flow_key, step.seed) + 1) / HASH_RANGE) * step.scale
        for step in rung
    ]
    order = sorted(range(len(rung)), key=costs.__getitem__)
    return [rung[index].candidate for index in order]


def _build_ladder(candidates: Sequence[Candidate], place: Place) -> _Ladder:
    steps = [_step(candidate, place) for candidate in candidates]
    steps = [step for step in steps if step.rung[0] != _NEVER]
    usable = [step for step in steps if step.rung[0] < _UNREACHABLE_RUNG]
    if not usable:
        last_resort = min((step.rung[0] for step in steps), default=_NEVER)
        usable = [step for step in steps if step.rung[0] == last_resort]
    usable.sort(key=attrgetter('rung', 'order'))
    return tuple(
        tuple(rung) for _key, rung in groupby(usable, attrgetter('rung'))
    )


def _step(candidate: Candidate, place: Place) -> _Step:
    endpoint = candidate.endpoint
    order = str(endpoint.address)
    return _Step(
        rung=(_health_rung(candidate), _distance_rung(candidate, place)),
        order=order,
        seed=xxhash.xxh3_64_intdigest(order.encode()),
        scale=1 / endpoint.weight if endpoint.weight > 0 else math.inf,
        candidate=candidate,
    )


def _health_rung(candidate: Candidate) -> int:
    if candidate.endpoint.state is EndpointState.LEAVING:
        return _NEVER
    rung = _STATE_RUNGS[candidate.state]
    if candidate.reachable:
        return rung
    return max(rung, _UNREACHABLE_RUNG)


def _distance_rung(candidate: Candidate, place: Place) -> int:
    endpoint = candidate.endpoint
    if place.locality is Locality.ANYWHERE:
        return 0
    if endpoint.region != place.region:
        return 2
    if place.locality is Locality.REGION:
        return 0
    return int(endpoint.data_center != place.data_center)
