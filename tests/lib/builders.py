"""Builders for endpoints, documents, inventory files and fleet keys."""

from pathlib import Path
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
    """Return a loopback address whose host is derived from ``number``."""
    return Address(f'127.0.{number // 250}.{number % 250 + 1}', port)


def build_fleet_keys(text: str = FLEET_KEYS_TEXT) -> FleetKeys:
    """Parse fleet keys; the default text holds one key."""
    return FleetKeys.parse(text)


def build_endpoint(number: int = 1, **changes: Any) -> Endpoint:
    """Return an endpoint; ``changes`` override its attributes."""
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
    endpoints: int | tuple[Endpoint, ...] = 3,
    **changes: Any,
) -> ServiceDocument:
    """Return a service document.

    ``endpoints`` holds the endpoints or says how many to build; ``changes``
    override other attributes.
    """
    if isinstance(endpoints, int):
        numbers = range(1, endpoints + 1)
        endpoints = tuple(build_endpoint(number) for number in numbers)
    attributes: dict[str, Any] = {
        'name': name,
        'organisation': ORGANISATION,
        'tag': service_tag(name),
        'version': version,
        'addresses': (build_address(200, 4433),),
        'endpoints': endpoints,
        **changes,
    }
    return ServiceDocument(**attributes)


def build_index(
    *documents: ServiceDocument,
    version: int = 1,
    bundles: int = 0,
) -> IndexDocument:
    """Return an index document that lists the given services."""
    return IndexDocument(
        version=version,
        services=tuple(build_entry(document) for document in documents),
        bundles=bundles,
    )


def build_entry(document: ServiceDocument) -> IndexEntry:
    """Return the index entry of a service."""
    return IndexEntry(
        name=document.name,
        tag=document.tag,
        version=document.version,
        addresses=document.addresses,
    )


def build_service_raw(**arguments: Any) -> bytes:
    """Return an encoded service document, as it is published."""
    return encode_document(build_service(**arguments))


def build_inventory_text(revision: int = 4) -> str:
    """Return the text of an inventory file with two services."""
    text = f"""
revision = {revision}

[data_centers.klang]
region = "selangor"

[services.reading-lists]
organisation = "association"
addresses = ["127.0.1.1:443"]
endpoints = [
  {build_endpoint_text('lists-1', '127.1.1.1')},
  {build_endpoint_text('lists-2', '127.1.1.2')},
]

[services.exports]
organisation = "association"
addresses = ["127.0.1.2:443"]
endpoints = [
  {build_endpoint_text('exports-1', '127.1.2.1')},
]
"""
    return text.lstrip()


def build_endpoint_text(name: str, host: str) -> str:
    """Return an endpoint as an inline TOML table of an inventory file."""
    pairs = (
        f'name = "{name}"',
        f'address = "{host}:7000"',
        'slots = 3',
        'data_center = "klang"',
    )
    return f'{{ {", ".join(pairs)} }}'


def write_declaration(
    directory: Path,
    inventory: str,
    rules: str = '',
) -> Path:
    """Write the inventory and rules files and return their directory."""
    (directory / 'inventory.toml').write_text(inventory)
    (directory / 'rules.toml').write_text(rules)
    return directory
