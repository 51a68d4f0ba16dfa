"""Validation of index and service documents.

The operators' command line and all daemons use the same checks. Each check
yields faults, whose ``key`` is the path to the value within the document.
"""

import hashlib
import ipaddress
import re
from collections import Counter
from collections.abc import Iterable, Iterator

from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.documents import (
    IndexDocument,
    ServiceDocument,
)
from dragonflyshift._internal.models.endpoint import Endpoint
from dragonflyshift._internal.models.fault import Fault
from dragonflyshift._internal.models.rules import ServiceRules

MAX_VERSION = 2**53
MAX_BUNDLES = 256
MAX_SLOTS = 10_000
MAX_WEIGHT = 1000
MAX_CONNECTIONS = 1_000_000
MAX_QUEUE = 100_000
MAX_REQUEST_SECONDS = 86_400
MAX_STREAM_SECONDS = 604_800
MAX_SLOW_START_SECONDS = 3600
_TAG_BYTES = 4
_NAME = re.compile('[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?')
_PATH_RULE = re.compile('[A-Z]{1,20} /[!-~]{0,1000}')
_NAME_HINT = 'use up to 63 lower-case letters, digits, dots and hyphens'
_PATH_HINT = 'write it as METHOD /path-prefix, such as "PUT /lists/"'


def service_tag(name: str) -> int:
    """Return the 32-bit number that identifies a service on the wire."""
    digest = hashlib.blake2s(name.encode(), digest_size=_TAG_BYTES)
    return int.from_bytes(digest.digest())


def check_index(index: IndexDocument) -> Iterator[Fault]:
    """Yield the faults of an index."""
    yield from _check_range('version', index.version, 1, MAX_VERSION)
    yield from _check_range('bundles', index.bundles, 0, MAX_BUNDLES)
    if not index.services:
        yield _fault('services', 'the index names no service')
    for position, entry in enumerate(index.services):
        key_path = f'services[{position}]'
        yield from _check_identity(key_path, entry.name, entry.tag)
        yield from _check_range(
            f'{key_path}.version',
            entry.version,
            1,
            MAX_VERSION,
        )
        yield from check_addresses(f'{key_path}.addresses', entry.addresses)
    yield from _check_unique(
        'services',
        'service name',
        (item.name for item in index.services),
    )
    yield from _check_unique(
        'services',
        'service tag',
        (item.tag for item in index.services),
    )
    yield from _check_unique(
        'services',
        'address',
        (addr for item in index.services for addr in set(item.addresses)),
    )


def check_service(document: ServiceDocument) -> Iterator[Fault]:
    """Yield the faults of a service's document."""
    yield from _check_identity('', document.name, document.tag)
    yield from check_name('organisation', document.organisation)
    yield from _check_range('version', document.version, 1, MAX_VERSION)
    yield from check_addresses('addresses', document.addresses)
    yield from check_rules(document.rules)
    for name in document.evacuated:
        yield from check_name('evacuated', name)
    if not document.endpoints:
        yield _fault(
            'endpoints',
            'the service has no endpoint',
            'a service that ends keeps its endpoints until its flows ended',
        )
    for position, endpoint in enumerate(document.endpoints):
        yield from check_endpoint(f'endpoints[{position}]', endpoint)
    yield from _check_unique(
        'endpoints',
        'endpoint name',
        (item.name for item in document.endpoints),
    )
    taken = [item.address for item in document.endpoints]
    yield from _check_unique(
        'endpoints',
        'address',
        (*taken, *set(document.addresses)),
    )


def check_endpoint(key_path: str, endpoint: Endpoint) -> Iterator[Fault]:
    """Yield the faults of one endpoint."""
    yield from check_name(f'{key_path}.name', endpoint.name)
    yield from check_name(f'{key_path}.data_center', endpoint.data_center)
    yield from check_name(f'{key_path}.region', endpoint.region)
    yield from _check_range(f'{key_path}.slots', endpoint.slots, 1, MAX_SLOTS)
    yield from check_host(f'{key_path}.address', endpoint.address)
    if not 0 < endpoint.weight <= MAX_WEIGHT:
        yield _fault(
            f'{key_path}.weight',
            f'{endpoint.weight} is out of range',
            f'give a number above 0, at most {MAX_WEIGHT}; to take an '
            'endpoint out of use, set its state to leaving',
        )


def check_rules(rules: ServiceRules) -> Iterator[Fault]:
    """Yield the faults of a service's rules."""
    limits = (
        ('connections', rules.connections, 1, MAX_CONNECTIONS),
        ('queue_limit', rules.queue_limit, 0, MAX_QUEUE),
        ('request_timeout', rules.request_timeout, 0.1, MAX_REQUEST_SECONDS),
        ('stream_timeout', rules.stream_timeout, 0.1, MAX_STREAM_SECONDS),
        ('retry_ratio', rules.retry_ratio, 0, 1),
        ('slow_start', rules.slow_start, 0, MAX_SLOW_START_SECONDS),
    )
    for name, number, low, high in limits:
        yield from _check_range(f'rules.{name}', number, low, high)
    for name, patterns in (
        ('idempotent', rules.idempotent),
        ('streaming', rules.streaming),
    ):
        for pattern in patterns:
            if _PATH_RULE.fullmatch(pattern) is None:
                message = f'{pattern!r} is not a rule for requests'
                yield _fault(f'rules.{name}', message, _PATH_HINT)


def check_name(key_path: str, name: str) -> Iterator[Fault]:
    """Yield a fault if a name does not match the allowed pattern."""
    if _NAME.fullmatch(name) is None:
        yield _fault(key_path, f'{name!r} is not a name', _NAME_HINT)


def check_host(key_path: str, address: Address) -> Iterator[Fault]:
    """Yield a fault if an address is unspecified or multicast."""
    host = ipaddress.IPv4Address(address.host)
    if host.is_unspecified or host.is_multicast:
        hint = 'give the address of one instance'
        yield _fault(key_path, f'{address} names no single instance', hint)


def check_addresses(
    key_path: str,
    addresses: tuple[Address, ...],
) -> Iterator[Fault]:
    """Yield the faults of a service's addresses."""
    if not addresses:
        yield _fault(key_path, 'the service has no address')
    for address in addresses:
        yield from check_host(key_path, address)
    yield from _check_unique(key_path, 'address', addresses)


def _check_identity(key_path: str, name: str, tag: int) -> Iterator[Fault]:
    prefix = f'{key_path}.' if key_path else ''
    yield from check_name(f'{prefix}name', name)
    if tag != service_tag(name.encode(errors='replace').decode()):
        yield _fault(
            f'{prefix}tag',
            f'{tag} is not the tag of the service {name!r}',
            'publish the document as rendered',
        )


def _check_range(
    key_path: str,
    number: float,
    low: float,
    high: float,
) -> Iterator[Fault]:
    if not low <= number <= high:
        yield _fault(
            key_path,
            f'{number} is out of range',
            f'give a number between {low} and {high}',
        )


def _check_unique(
    key_path: str,
    description: str,
    values: Iterable[object],
) -> Iterator[Fault]:
    for value, count in Counter(values).items():
        if count > 1:
            yield _fault(
                key_path, f'the {description} {value} appears {count} times'
            )


def _fault(key_path: str, message: str, hint: str = '') -> Fault:
    return Fault('', key_path, message, hint)
