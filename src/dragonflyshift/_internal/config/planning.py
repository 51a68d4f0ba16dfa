"""Comparison of two declarations and its effects on flows."""

from collections.abc import Iterator

from dragonflyshift._internal.config.endpoint_planning import plan_endpoints
from dragonflyshift._internal.config.evacuation import serving_endpoints
from dragonflyshift._internal.config.evacuation_planning import (
    plan_evacuations,
)
from dragonflyshift._internal.config.service_planning import (
    plan_addition,
    plan_removal,
    plan_service,
)
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import ServiceDocument
from dragonflyshift._internal.models.plan import (
    ChangeKind,
    Plan,
    PlannedChange,
    ServiceCapacity,
)

# A change that removes a larger fraction of a service's slots is risky.
MAX_LOST_FRACTION = 0.5


def plan_changes(old: Declaration, new: Declaration) -> Plan:
    """Return the changes between two declarations and the capacities."""
    names = _service_names(old, new)
    changes = tuple(_plan_all(old, new, names))
    capacities = tuple(
        _capacity(name, old.service(name), new.service(name)) for name in names
    )
    losses = tuple(_plan_losses(capacities))
    kept = tuple(_plan_revision(old, new, bool(changes)))
    return Plan(
        old_revision=old.revision,
        new_revision=new.revision,
        changes=(*kept, *changes, *losses),
        capacities=capacities,
    )


def _service_names(old: Declaration, new: Declaration) -> tuple[str, ...]:
    ordered = dict.fromkeys(
        document.name for document in (*old.services, *new.services)
    )
    return tuple(ordered)


def _plan_all(
    old: Declaration,
    new: Declaration,
    names: tuple[str, ...],
) -> Iterator[PlannedChange]:
    for name in names:
        before = old.service(name)
        after = new.service(name)
        if before is None:
            if after is not None:
                yield plan_addition(after)
        elif after is None:
            yield plan_removal(before)
        else:
            yield from plan_service(before, after, new)
            yield from plan_evacuations(before, after)
            yield from plan_endpoints(before, after, new)


def _capacity(
    name: str,
    before: ServiceDocument | None,
    after: ServiceDocument | None,
) -> ServiceCapacity:
    old = serving_endpoints(before)
    new = serving_endpoints(after)
    return ServiceCapacity(
        service=name,
        endpoints_before=len(old),
        endpoints_after=len(new),
        slots_before=sum(endpoint.slots for endpoint in old),
        slots_after=sum(endpoint.slots for endpoint in new),
    )


def _plan_losses(
    capacities: tuple[ServiceCapacity, ...],
) -> Iterator[PlannedChange]:
    for capacity in capacities:
        lost = capacity.slots_before - capacity.slots_after
        if capacity.slots_after and lost > (
            capacity.slots_before * MAX_LOST_FRACTION
        ):
            yield PlannedChange(
                ChangeKind.CAPACITY_LOST,
                capacity.service,
                f'{lost} of {capacity.slots_before} slots',
                'the slots that stay may fill up and refuse requests; '
                'change fewer endpoints at a time',
                is_risky=True,
            )


def _plan_revision(
    old: Declaration,
    new: Declaration,
    is_changed: bool,
) -> Iterator[PlannedChange]:
    if new.revision <= old.revision and is_changed:
        yield PlannedChange(
            ChangeKind.REVISION_KEPT,
            '',
            f'revision {new.revision}',
            'every daemon ignores the new documents; raise the revision '
            f'above {old.revision}',
            is_risky=True,
        )
