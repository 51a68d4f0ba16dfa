"""Differences between two declarations and their effects."""

import enum

from attrs import frozen


class ChangeKind(enum.StrEnum):
    """The kinds of planned changes."""

    SERVICE_ADDED = 'service-added'
    SERVICE_REMOVED = 'service-removed'
    SERVICE_WINDS_DOWN = 'service-winds-down'
    SERVICE_RESUMES = 'service-resumes'
    SERVICE_CHANGED = 'service-changed'
    ADDRESS_ADDED = 'address-added'
    ADDRESS_REMOVED = 'address-removed'
    DATA_CENTER_EVACUATED = 'data-center-evacuated'
    DATA_CENTER_RESTORED = 'data-center-restored'
    ENDPOINT_JOINS = 'endpoint-joins'
    ENDPOINT_LEAVES = 'endpoint-leaves'
    ENDPOINT_RETURNS = 'endpoint-returns'
    ENDPOINT_REMOVED = 'endpoint-removed'
    ENDPOINT_MOVES = 'endpoint-moves'
    ENDPOINT_CHANGED = 'endpoint-changed'
    RULES_CHANGED = 'rules-changed'
    CAPACITY_LOST = 'capacity-lost'
    REVISION_KEPT = 'revision-kept'


@frozen
class PlannedChange:
    """One change: its subject, and its effect on flows and requests.

    ``is_risky`` marks a change that can break flows or cause refusals.
    """

    kind: ChangeKind
    service: str
    subject: str
    effect: str
    is_risky: bool = False


@frozen
class ServiceCapacity:
    """Serving endpoints and slots of a service before and after a change."""

    service: str
    endpoints_before: int
    endpoints_after: int
    slots_before: int
    slots_after: int


@frozen
class Plan:
    """All changes between two declarations, and each service's capacity."""

    old_revision: int
    new_revision: int
    changes: tuple[PlannedChange, ...]
    capacities: tuple[ServiceCapacity, ...]
