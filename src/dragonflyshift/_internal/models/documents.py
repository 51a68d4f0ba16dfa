"""Documents that the platform publishes and every daemon reads.

The platform holds one index and one document for each service. Versions are
positive integers that only rise.
"""

import enum

from attrs import frozen

from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.endpoint import Endpoint
from dragonflyshift._internal.models.rules import ServiceRules

INDEX_KEY = 'dragonflyshift/index'


class ServiceState(enum.StrEnum):
    """Whether a service takes new flows."""

    SERVING = 'serving'
    WINDING_DOWN = 'winding-down'


def service_key(name: str) -> str:
    """Return the platform key under which a service's document stands."""
    return f'dragonflyshift/service/{name}'


def bundle_key(number: int) -> str:
    """Return the platform key under which a bundle stands."""
    return f'dragonflyshift/bundle/{number}'


@frozen
class IndexEntry:
    """What the index says of one service.

    ``tag`` is the service's 32-bit number, carried in each datagram and
    connection id, so that a packet can't reach another service.
    """

    name: str
    tag: int
    version: int
    addresses: tuple[Address, ...]


@frozen
class IndexDocument:
    """All services, each with the version of its document.

    ``bundles`` is the number of bundles that hold the services' documents
    once more, for daemons that are far behind; 0 if there are none.
    """

    version: int
    services: tuple[IndexEntry, ...]
    bundles: int = 0


@frozen
class ServiceDocument:
    """One service: its addresses, endpoints and rules."""

    name: str
    organisation: str
    tag: int
    version: int
    addresses: tuple[Address, ...]
    endpoints: tuple[Endpoint, ...]
    rules: ServiceRules = ServiceRules()
    state: ServiceState = ServiceState.SERVING
