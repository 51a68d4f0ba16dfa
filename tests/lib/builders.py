"""Builders of test data: endpoints, documents, declarations, settings."""

from typing import Any

from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.validation import service_tag
from dragonflyshift._internal.models import (
    Address,
    Endpoint,
    IndexDocument,
    IndexEntry,
    ServiceDocument,
)
from dragonflyshift._internal.wire.keys import FleetKeys

DATA_CENTER = 'klang'
REGION = 'selangor'
ORGANISATION = 'association'
SERVICE = 'reading-lists'
FLEET_KEYS_TEXT = f'1:{"0b" * 32}'


def build_address(number: int = 1, port: int = 7000) -> Address:
    """Return a loopback address; each number has its own host."""
    return Address(f'127.0.{number // 250}.{number % 250 + 1}', port)


def build_fleet_keys(text: str = FLEET_KEYS_TEXT) -> FleetKeys:
    """Return fleet keys with one key."""
    return FleetKeys.parse(text)


def build_endpoint(number: int = 1, **changes: Any) -> Endpoint:
    """Return an endpoint; ``changes`` overrides its attributes."""
    attributes: dict[str, Any] = {
        'name': f'instance-{number}',
        'address': build_address(number),
        'data_center': DATA_CENTER,
        'region': REGION,
        'slots': 3,
        **changes,
    }
    return Endpoint(**attributes)


def build_service(
    name: str = SERVICE,
    version: int = 1,
    endpoints: int = 3,
    **changes: Any,
) -> ServiceDocument:
    """Return a service's document with some endpoints."""
    attributes: dict[str, Any] = {
        'name': name,
        'organisation': ORGANISATION,
        'tag': service_tag(name),
        'version': version,
        'addresses': (build_address(200, 4433),),
        'endpoints': tuple(
            build_endpoint(number) for number in range(1, endpoints + 1)
        ),
        **changes,
    }
    return ServiceDocument(**attributes)


def build_index(
    *documents: ServiceDocument,
    version: int = 1,
) -> IndexDocument:
    """Return the index of some services' documents."""
    return IndexDocument(
        version=version,
        services=tuple(build_entry(document) for document in documents),
    )


def build_entry(document: ServiceDocument) -> IndexEntry:
    """Return what the index says of a service."""
    return IndexEntry(
        name=document.name,
        tag=document.tag,
        version=document.version,
        addresses=document.addresses,
    )


def build_service_raw(**arguments: Any) -> bytes:
    """Return a service's document as it is published."""
    return encode_document(build_service(**arguments))
