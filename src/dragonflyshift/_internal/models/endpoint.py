"""An endpoint: one backend server instance with its sidecar."""

import enum

from attrs import frozen

from dragonflyshift._internal.models.address import Address


class EndpointState(enum.StrEnum):
    """What the register plans for an endpoint."""

    SERVING = 'serving'
    LEAVING = 'leaving'


@frozen
class Endpoint:
    """One endpoint as the inventory declares it.

    ``address`` is the sidecar's; it takes datagrams and streams on the same
    port number. ``slots`` is the number of requests that the backend server
    runs at a time, ``weight`` the endpoint's share of new flows relative to
    its peers.
    """

    name: str
    address: Address
    data_center: str
    region: str
    slots: int
    weight: float = 1.0
    state: EndpointState = EndpointState.SERVING
