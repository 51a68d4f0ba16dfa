"""An endpoint: one backend server instance with its sidecar."""

import enum

from attrs import frozen

from dragonflyshift._internal.models.address import Address


class EndpointState(enum.StrEnum):
    """Whether the inventory keeps an endpoint in service or removes it."""

    SERVING = 'serving'
    LEAVING = 'leaving'


@frozen
class Endpoint:
    """One endpoint as declared in the inventory.

    ``address`` is the sidecar's, which accepts datagrams and streams on the
    same port number. ``slots`` is the number of requests that the backend
    server runs concurrently. ``weight`` is the endpoint's share of new flows
    relative to the other endpoints.
    """

    name: str
    address: Address
    data_center: str
    region: str
    slots: int
    weight: float = 1.0
    state: EndpointState = EndpointState.SERVING
