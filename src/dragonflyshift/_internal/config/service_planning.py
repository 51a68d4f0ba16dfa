"""Effects of service changes on flows and requests."""

from collections.abc import Iterator

import attrs

from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import (
    ServiceDocument,
    ServiceState,
)
from dragonflyshift._internal.models.plan import ChangeKind, PlannedChange


def plan_addition(after: ServiceDocument) -> PlannedChange:
    """Return the change for a service that is added."""
    return PlannedChange(
        ChangeKind.SERVICE_ADDED,
        after.name,
        _join(after.addresses),
        f'takes new flows at {len(after.endpoints)} endpoints',
    )


def plan_removal(before: ServiceDocument) -> PlannedChange:
    """Return the change for a service that is removed."""
    if before.state is ServiceState.WINDING_DOWN:
        effect = 'balancers close its addresses; no flow should be left'
    else:
        effect = (
            'new flows are turned away and open ones may lose their '
            'path; wind the service down first'
        )
    return PlannedChange(
        ChangeKind.SERVICE_REMOVED,
        before.name,
        _join(before.addresses),
        effect,
        is_risky=before.state is ServiceState.SERVING,
    )


def plan_service(
    before: ServiceDocument,
    after: ServiceDocument,
    new: Declaration,
) -> Iterator[PlannedChange]:
    """Yield the changes of state, organisation, addresses and rules."""
    if before.state is not after.state:
        yield _plan_state(after)
    if before.organisation != after.organisation:
        yield PlannedChange(
            ChangeKind.SERVICE_CHANGED,
            after.name,
            f'organisation {before.organisation} -> {after.organisation}',
            'no flow is affected',
        )
    yield from _plan_addresses(before, after, new)
    yield from _plan_rules(before, after)


def _plan_state(after: ServiceDocument) -> PlannedChange:
    if after.state is ServiceState.WINDING_DOWN:
        return PlannedChange(
            ChangeKind.SERVICE_WINDS_DOWN,
            after.name,
            _join(after.addresses),
            'takes no new flow; open flows run to their end',
        )
    return PlannedChange(
        ChangeKind.SERVICE_RESUMES,
        after.name,
        _join(after.addresses),
        'takes new flows again',
    )


def _plan_addresses(
    before: ServiceDocument,
    after: ServiceDocument,
    new: Declaration,
) -> Iterator[PlannedChange]:
    for added in after.addresses:
        if added not in before.addresses:
            yield PlannedChange(
                ChangeKind.ADDRESS_ADDED,
                after.name,
                str(added),
                'takes new flows of the service',
            )
    for removed in before.addresses:
        if removed in after.addresses:
            continue
        owner = _owner(removed, new)
        outcome = f'passes to the service {owner}' if owner else 'is closed'
        yield PlannedChange(
            ChangeKind.ADDRESS_REMOVED,
            after.name,
            str(removed),
            f'the address {outcome}; flows still open through it lose '
            'their path',
            is_risky=True,
        )


def _owner(address: Address, new: Declaration) -> str:
    for document in new.services:
        if address in document.addresses:
            return document.name
    return ''


def _plan_rules(
    before: ServiceDocument,
    after: ServiceDocument,
) -> Iterator[PlannedChange]:
    for attribute in attrs.fields(type(after.rules)):
        old = getattr(before.rules, attribute.name)
        new = getattr(after.rules, attribute.name)
        if old != new:
            yield PlannedChange(
                ChangeKind.RULES_CHANGED,
                after.name,
                f'{attribute.name} {_show(old)} -> {_show(new)}',
                'applies to new requests and flows; running ones go on',
            )


def _show(value: object) -> str:
    if isinstance(value, tuple):
        return f'[{_join(value)}]'
    return str(value)


def _join(values: tuple[object, ...]) -> str:
    return ', '.join(str(value) for value in values)
