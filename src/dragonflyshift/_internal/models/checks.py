"""Result of the validation of a declaration."""

from attrs import frozen

from dragonflyshift._internal.models.documents import ServiceState
from dragonflyshift._internal.models.fault import Fault


@frozen
class ServiceSummary:
    """Summary of one service of a valid declaration."""

    name: str
    organisation: str
    state: ServiceState
    endpoints: int
    slots: int


@frozen
class CheckReport:
    """The faults of an invalid declaration, or the services of a valid one."""

    is_valid: bool
    revision: int = 0
    faults: tuple[Fault, ...] = ()
    services: tuple[ServiceSummary, ...] = ()
