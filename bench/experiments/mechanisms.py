"""The mechanisms that the ablation switches off, one at a time."""

__all__ = ('MECHANISMS', 'Mechanism', 'Patch', 'constant_patch')

import importlib
import random
from collections.abc import Sequence
from contextlib import AbstractContextManager, ExitStack
from typing import Any
from unittest import mock

from attrs import frozen

from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.packet import Packet
from dragonflyshift._internal.carried.policies.admission import (
    SlotReservation,
)
from dragonflyshift._internal.carried.policies.cold_pace import ColdPace
from dragonflyshift._internal.carried.policies.failure_detection import (
    FailureDetector,
)
from dragonflyshift._internal.carried.policies.owner_search import RouteHistory
from dragonflyshift._internal.carried.policies.placement import (
    LeastRequests,
    PlacementOption,
)
from dragonflyshift._internal.carried.policies.target_first import TargetFirst

_CARRIED = 'dragonflyshift._internal.carried'
_PLACER = f'{_CARRIED}.balancer.placer'
_SIDECARS = f'{_CARRIED}.balancer.sidecars'
_POLICIES = f'{_CARRIED}.policies'
_OFFERS = f'{_POLICIES}.offers'
_TRACKER = f'{_CARRIED}.sidecar.backend_tracker'
_NEVER_S = float('inf')
_ANY_NUMBER = 1_000_000


@frozen
class Patch:
    """Replaces an attribute of a module or a class for the time of a run."""

    target: Any
    name: str
    value: Any

    def applied(self) -> AbstractContextManager[Any]:
        """Return a context in which the attribute has the value."""
        if isinstance(self.target, str):
            return mock.patch(f'{self.target}.{self.name}', self.value)
        return mock.patch.object(self.target, self.name, self.value)


def constant_patch(name: str, value: float) -> Patch:
    """Return a patch of a module constant of carried flows.

    ``name`` is the path from the package on, such as
    ``policies.offers.MAX_IDLE_OFFERS``. Raises LookupError if there is no such
    number.
    """
    path, _dot, constant = name.rpartition('.')
    target = f'{_CARRIED}.{path}'
    try:
        present = getattr(importlib.import_module(target), constant)
    except (ImportError, AttributeError) as exc:
        raise LookupError(name) from exc
    if not isinstance(present, int | float):
        raise LookupError(name)
    return Patch(target, constant, value)


@frozen
class Mechanism:
    """A mechanism, with the patches that switch it off."""

    name: str
    patches: tuple[Patch, ...]

    def disabled(self) -> ExitStack:
        """Return a context in which the mechanism is switched off."""
        stack = ExitStack()
        for patch in self.patches:
            stack.enter_context(patch.applied())
        return stack


def _rank_by_age(
    _policy: TargetFirst, now: float, flow: Any, _service_ms: float
) -> tuple[int, int, float]:
    return (0, flow.priority, -flow.age_ms(now))


def _least_busy(
    _placement: LeastRequests,
    options: Sequence[PlacementOption],
    _remote_requests: float,
    rng: random.Random,
) -> list[PlacementOption]:
    """Order endpoints by their reported and sent requests for each slot."""
    rated = [
        (_requests(option) + rng.random() / 2, index)
        for index, option in enumerate(options)
        if not option.record.is_leaving
    ]
    return [options[index] for _requests_ahead, index in sorted(rated)]


def _requests(option: PlacementOption) -> float:
    requests = option.sent_since
    if option.load is not None:
        requests += option.load.busy + option.load.waiting
    return requests / max(1, option.record.slots)


def _likelihood_without_priority(
    policy: TargetFirst, now: float, flow: Any, service_ms: float
) -> tuple[int, int, float]:
    likelihood, _priority, age = _RANK(policy, now, flow, service_ms)
    return (likelihood, 0, age)


_RANK = TargetFirst.rank
MECHANISMS = (
    Mechanism(
        'offers to idle servers first',
        (Patch(_OFFERS, 'MAX_IDLE_OFFERS', 0),),
    ),
    Mechanism(
        'second offer for queueing', (Patch(_OFFERS, 'MAX_QUEUE_OFFERS', 1),)
    ),
    Mechanism(
        'placement by least requests',
        (Patch(LeastRequests, 'order', _least_busy),),
    ),
    Mechanism(
        'penalty of distance',
        (
            Patch(_PLACER, 'REMOTE_REQUESTS', 0),
            Patch(_PLACER, 'REMOTE_REQUESTS_LARGE', 0),
        ),
    ),
    Mechanism(
        'factor of cold servers',
        (Patch(f'{_POLICIES}.placement', 'COLD_FACTOR', 1.0),),
    ),
    Mechanism('suspect marks', (Patch(_SIDECARS, 'SUSPECT_S', 0),)),
    Mechanism(
        'candidates of large services',
        (Patch(f'{_POLICIES}.candidates', 'LOCAL_CANDIDATES', _ANY_NUMBER),),
    ),
    Mechanism(
        'order by likelihood', (Patch(TargetFirst, 'rank', _rank_by_age),)
    ),
    Mechanism(
        'priorities',
        (Patch(TargetFirst, 'rank', _likelihood_without_priority),),
    ),
    Mechanism(
        'discount of late flows',
        (Patch(f'{_POLICIES}.target_first', 'LATE_BACKLOG_SHARE', 1.0),),
    ),
    Mechanism(
        'overcommit', (Patch(f'{_POLICIES}.admission', 'OVERCOMMIT', 0),)
    ),
    Mechanism(
        'reserved slots',
        (Patch(SlotReservation, 'until', lambda _self, now: now),),
    ),
    Mechanism(
        'backoff after a bounce',
        (
            Patch(_TRACKER, 'MIN_BOUNCE_BACKOFF_S', 0),
            Patch(_TRACKER, 'MAX_BOUNCE_BACKOFF_S', 0),
        ),
    ),
    Mechanism(
        'comparison of servers',
        (Patch(SidecarTable, 'compare', lambda *_args: None),),
    ),
    Mechanism(
        'detection of failures',
        (
            Patch(FailureDetector, 'penalty_ms', lambda *_args: 0),
            Patch(FailureDetector, 'is_avoided', lambda *_args: False),
        ),
    ),
    Mechanism(
        'warm-up rate', (Patch(ColdPace, 'is_open', lambda *_args: True),)
    ),
    Mechanism(
        'delegated lookups',
        (
            Patch(
                f'{_CARRIED}.balancer.owner_lookup',
                'MAX_QUERIED_SIDECARS',
                _ANY_NUMBER,
            ),
        ),
    ),
    Mechanism(
        'lookups across route changes',
        (Patch(RouteHistory, 'services', lambda *_args: ()),),
    ),
    Mechanism(
        'resets of closed flows',
        (
            Patch(
                Packet,
                'is_repeated_until_acknowledged',
                property(lambda packet: packet.payload_bytes > 0),
            ),
        ),
    ),
)
