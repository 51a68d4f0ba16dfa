"""Evacuated data centres in service documents.

The build before this one refuses unknown keys and states. A published document
therefore expresses an evacuation by states that it has: endpoints that leave,
or a service that winds down if no other endpoint takes new flows. The names of
the data centres are carried as rules for idempotent requests of a reserved
method, which no request has.
"""

import logging
from collections.abc import Iterable

import attrs

from dragonflyshift._internal.models.documents import (
    ServiceDocument,
    ServiceState,
)
from dragonflyshift._internal.models.endpoint import Endpoint, EndpointState

logger = logging.getLogger(__name__)

RESERVED_METHOD = 'EVACUATED'
_MARK = f'{RESERVED_METHOD} /'


def serving_endpoints(
    document: ServiceDocument | None,
) -> tuple[Endpoint, ...]:
    """Return the endpoints that accept new flows."""
    if document is None:
        return ()
    return tuple(
        endpoint
        for endpoint in document.endpoints
        if endpoint.state is EndpointState.SERVING
        and endpoint.data_center not in document.evacuated
    )


def publish_evacuation(document: ServiceDocument) -> ServiceDocument:
    """Return the published form of a declared document.

    Endpoints in evacuated data centres leave. If no other endpoint serves,
    their states stay and the service winds down: balancers then still send
    new flows to sidecars, which refuse them at once, and requests of open
    flows still run there.
    """
    if not document.evacuated:
        return document
    if not serving_endpoints(document):
        return attrs.evolve(document, state=ServiceState.WINDING_DOWN)
    return attrs.evolve(
        document,
        endpoints=tuple(
            attrs.evolve(endpoint, state=EndpointState.LEAVING)
            if endpoint.data_center in document.evacuated
            else endpoint
            for endpoint in document.endpoints
        ),
    )


def pack_evacuated(document: ServiceDocument) -> ServiceDocument:
    """Move the names of evacuated data centres to the idempotent rules."""
    if not document.evacuated:
        return document
    marks = tuple(f'{_MARK}{name}' for name in document.evacuated)
    return _evolve(document, (*document.rules.idempotent, *marks), ())


def unpack_evacuated(document: ServiceDocument) -> ServiceDocument:
    """Move the names of evacuated data centres out of the idempotent rules."""
    idempotent = document.rules.idempotent
    if not any(map(is_reserved_rule, idempotent)):
        return document
    names = (
        rule.removeprefix(_MARK)
        for rule in idempotent
        if is_reserved_rule(rule)
    )
    return _evolve(
        document,
        tuple(rule for rule in idempotent if not is_reserved_rule(rule)),
        (*document.evacuated, *names),
    )


def is_reserved_rule(rule: str) -> bool:
    """Return whether a rule for requests has the reserved method."""
    return rule.startswith(_MARK)


class EvacuationLog:
    """Logs the data centres that are evacuated and restored.

    ``data_centers`` maps each evacuated data centre to the documents of the
    last update that name it.
    """

    def __init__(self) -> None:
        """Start without an evacuated data centre."""
        self.data_centers: dict[str, list[ServiceDocument]] = {}

    def update(self, services: Iterable[ServiceDocument]) -> None:
        """Take over the evacuations of all services that are not retired."""
        previous = self.data_centers
        self.data_centers = {}
        for document in services:
            for name in document.evacuated:
                self.data_centers.setdefault(name, []).append(document)
        for evacuated in sorted(self.data_centers.keys() - previous.keys()):
            _log_evacuated(evacuated, len(self.sidecars(evacuated)))
        for restored in sorted(previous.keys() - self.data_centers.keys()):
            logger.info('data-center-restored', extra={'data_center': restored})

    def sidecars(self, data_center: str) -> tuple[str, ...]:
        """Return the addresses of the sidecars in an evacuated data centre."""
        return tuple(
            str(endpoint.address)
            for document in self.data_centers[data_center]
            for endpoint in document.endpoints
            if endpoint.data_center == data_center
        )


def _log_evacuated(data_center: str, endpoints: int) -> None:
    fields = {'data_center': data_center, 'endpoints': endpoints}
    if endpoints:
        logger.info('data-center-evacuated', extra=fields)
    else:
        logger.warning('evacuation-of-unknown-data-center', extra=fields)


def _evolve(
    document: ServiceDocument,
    idempotent: tuple[str, ...],
    evacuated: tuple[str, ...],
) -> ServiceDocument:
    rules = attrs.evolve(document.rules, idempotent=idempotent)
    return attrs.evolve(document, rules=rules, evacuated=evacuated)
