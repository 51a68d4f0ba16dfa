"""Entries of the operators' inventory, and the validated declaration."""

from attrs import field, frozen

from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.documents import (
    ServiceDocument,
    ServiceState,
)
from dragonflyshift._internal.models.endpoint import EndpointState


@frozen
class DataCenterEntry:
    """A data centre of the inventory.

    No new flow is placed in an evacuated data centre.
    """

    region: str
    evacuated: bool = False


@frozen
class EndpointEntry:
    """An endpoint of the inventory."""

    name: str
    address: Address
    data_center: str
    slots: int
    weight: float = 1.0
    state: EndpointState = EndpointState.SERVING


@frozen
class ServiceEntry:
    """A service of the inventory."""

    organisation: str
    addresses: tuple[Address, ...]
    endpoints: tuple[EndpointEntry, ...]
    state: ServiceState = ServiceState.SERVING


@frozen
class Inventory:
    """The inventory file.

    ``revision`` comes from version control and increases with each change.
    """

    revision: int
    data_centers: dict[str, DataCenterEntry]
    services: dict[str, ServiceEntry]


@frozen
class Declaration:
    """A valid declaration with the document of each service.

    Every document has ``revision`` as its version. Its states are the declared
    ones; rendering applies the evacuations.
    """

    revision: int
    services: tuple[ServiceDocument, ...]
    data_centers: dict[str, DataCenterEntry] = field(factory=dict)

    def service(self, name: str) -> ServiceDocument | None:
        """Return the document of a service by name, or None."""
        for document in self.services:
            if document.name == name:
                return document
        return None
