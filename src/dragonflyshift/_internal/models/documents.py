"""Documents that the platform publishes and every daemon reads.

The platform stores one index and one document for each service. Versions are
positive integers that only increase.
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
    """Return the platform key of a service's document."""
    return f'dragonflyshift/service/{name}'


def bundle_key(number: int) -> str:
    """Return the platform key of a bundle."""
    return f'dragonflyshift/bundle/{number}'


@frozen
class IndexEntry:
    """Entry of one service in the index.

    ``tag`` is the service's 32-bit number. Each datagram and connection id
    carries it, so that a packet can't reach another service. ``version`` is
    the version of the service's document.
    """

    name: str
    tag: int
    version: int
    addresses: tuple[Address, ...]


@frozen
class IndexDocument:
    """All services, each with the version of its document.

    ``bundles`` is the number of bundles, or 0 if there are none. Bundles hold
    copies of the service documents for daemons that have to read many.
    """

    version: int
    services: tuple[IndexEntry, ...]
    bundles: int = 0


@frozen
class ServiceDocument:
    """One service: its addresses, endpoints and rules.

    ``evacuated`` names the data centres with endpoints of the service in
    which no new flow is placed. In the published form the states of the
    service and its endpoints already express this.
    """

    name: str
    organisation: str
    tag: int
    version: int
    addresses: tuple[Address, ...]
    endpoints: tuple[Endpoint, ...]
    rules: ServiceRules = ServiceRules()
    state: ServiceState = ServiceState.SERVING
    evacuated: tuple[str, ...] = ()

    def evacuated_addresses(self) -> frozenset[Address]:
        """Return the addresses of the endpoints in evacuated data centres."""
        return frozenset(
            endpoint.address
            for endpoint in self.endpoints
            if endpoint.data_center in self.evacuated
        )
