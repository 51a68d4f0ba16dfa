"""Conflicts between the services of one declaration."""

from collections import defaultdict
from collections.abc import Iterator, Sequence

from dragonflyshift._internal.models.documents import ServiceDocument
from dragonflyshift._internal.models.fault import Fault


def check_conflicts(
    source: str,
    documents: Sequence[ServiceDocument],
) -> Iterator[Fault]:
    """Yield a fault for each address, endpoint or tag of two services."""
    yield from _check_single_owner(
        source,
        'the address',
        'give each service and each endpoint an address of its own',
        _address_claims(documents),
    )
    yield from _check_single_owner(
        source,
        'the endpoint',
        'list an endpoint in one service only',
        (
            (endpoint.name, document.name, f'endpoints[{position}]')
            for document in documents
            for position, endpoint in enumerate(document.endpoints)
        ),
    )
    yield from _check_single_owner(
        source,
        'the service tag',
        'rename one of the services; the tag follows from the name',
        ((document.tag, document.name, '') for document in documents),
    )


def _address_claims(
    documents: Sequence[ServiceDocument],
) -> Iterator[tuple[object, str, str]]:
    for document in documents:
        for position, address in enumerate(document.addresses):
            yield address, document.name, f'addresses[{position}]'
        for number, endpoint in enumerate(document.endpoints):
            key_path = f'endpoints[{number}].address'
            yield endpoint.address, document.name, key_path


def _check_single_owner(
    source: str,
    description: str,
    hint: str,
    claims: Iterator[tuple[object, str, str]],
) -> Iterator[Fault]:
    places: dict[object, dict[str, str]] = defaultdict(dict)
    for value, service, key_path in claims:
        service_path = f'services.{service}'
        places[value][service] = (
            f'{service_path}.{key_path}' if key_path else service_path
        )
    for value, places_by_service in places.items():
        first, *others = places_by_service.values()
        for other in others:
            message = f'{description} {value} is also that of {first}'
            yield Fault(source, other, message, hint)
