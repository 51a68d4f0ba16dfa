"""Effects of endpoint changes on flows and requests."""

from collections.abc import Iterator

import attrs

from dragonflyshift._internal.config.evacuation import serving_endpoints
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import ServiceDocument
from dragonflyshift._internal.models.endpoint import Endpoint, EndpointState
from dragonflyshift._internal.models.plan import ChangeKind, PlannedChange
from dragonflyshift._internal.models.rules import Locality


def plan_endpoints(
    before: ServiceDocument,
    after: ServiceDocument,
    new: Declaration,
) -> Iterator[PlannedChange]:
    """Yield the endpoint changes, and data centres left without endpoints."""
    previous_endpoints = {
        endpoint.name: endpoint for endpoint in before.endpoints
    }
    for endpoint in after.endpoints:
        previous = previous_endpoints.pop(endpoint.name, None)
        if previous is None:
            yield _plan_join(after, endpoint)
        elif previous != endpoint:
            yield from _plan_change(before, after, previous, endpoint)
    for removed in previous_endpoints.values():
        yield _plan_removal(after, removed, new)
    yield from _plan_emptied_data_centers(before, after)


def _plan_join(after: ServiceDocument, endpoint: Endpoint) -> PlannedChange:
    return PlannedChange(
        ChangeKind.ENDPOINT_JOINS,
        after.name,
        endpoint.name,
        f'takes new flows and requests, up to {endpoint.slots} at a time '
        f'after a slow start of {after.rules.slow_start:g} s',
    )


def _plan_change(
    before: ServiceDocument,
    after: ServiceDocument,
    previous: Endpoint,
    endpoint: Endpoint,
) -> Iterator[PlannedChange]:
    if previous.state is not endpoint.state:
        yield _plan_state(before, after, endpoint)
    for attribute in attrs.fields(Endpoint):
        old = getattr(previous, attribute.name)
        new = getattr(endpoint, attribute.name)
        if old == new or attribute.name == 'state':
            continue
        is_moved = attribute.name == 'address'
        yield PlannedChange(
            ChangeKind.ENDPOINT_CHANGED,
            after.name,
            f'{endpoint.name}: {attribute.name} {old} -> {new}',
            (
                'open flows stay at the old address while its sidecar runs'
                if is_moved
                else 'applies to new flows and requests; running ones go on'
            ),
            is_risky=is_moved,
        )


def _plan_state(
    before: ServiceDocument,
    after: ServiceDocument,
    endpoint: Endpoint,
) -> PlannedChange:
    if endpoint.state is EndpointState.SERVING:
        return PlannedChange(
            ChangeKind.ENDPOINT_RETURNS,
            after.name,
            endpoint.name,
            'takes new flows and requests again',
        )
    return PlannedChange(
        ChangeKind.ENDPOINT_LEAVES,
        after.name,
        endpoint.name,
        f'takes no new flow; up to {before.rules.connections} open flows run '
        'to their end, their new requests go to '
        f'{len(serving_endpoints(after))} endpoints that stay',
    )


def _plan_removal(
    after: ServiceDocument,
    removed: Endpoint,
    new: Declaration,
) -> PlannedChange:
    owner = _new_owner(removed, after, new)
    if owner:
        return PlannedChange(
            ChangeKind.ENDPOINT_MOVES,
            after.name,
            removed.name,
            f'passes to the service {owner}; its open flows break unless it '
            'has left, and its sidecar has ended, before',
            is_risky=True,
        )
    has_left = removed.state is EndpointState.LEAVING
    advice = '' if has_left else '; set it to leaving first, and wait'
    return PlannedChange(
        ChangeKind.ENDPOINT_REMOVED,
        after.name,
        removed.name,
        f'takes no new flow; open flows go on while its sidecar runs{advice}',
        is_risky=not has_left,
    )


def _new_owner(
    removed: Endpoint,
    after: ServiceDocument,
    new: Declaration,
) -> str:
    for document in new.services:
        if document.name == after.name:
            continue
        for endpoint in document.endpoints:
            if (
                endpoint.name == removed.name
                or endpoint.address == removed.address
            ):
                return document.name
    return ''


def _plan_emptied_data_centers(
    before: ServiceDocument,
    after: ServiceDocument,
) -> Iterator[PlannedChange]:
    if after.rules.locality is not Locality.DATA_CENTER:
        return
    old = {endpoint.data_center for endpoint in serving_endpoints(before)}
    new = {endpoint.data_center for endpoint in serving_endpoints(after)}
    # The locality rule does not keep new flows in an evacuated data centre.
    for name in sorted(old - new - set(after.evacuated)):
        yield PlannedChange(
            ChangeKind.CAPACITY_LOST,
            after.name,
            f'data centre {name}',
            'no endpoint is left there, and the locality rule keeps new flows '
            'within their data centre; widen it to region',
            is_risky=True,
        )
