"""The result of checking a declaration."""

from attrs import frozen

from dragonflyshift._internal.models.documents import ServiceState
from dragonflyshift._internal.models.fault import Fault


@frozen
class ServiceSummary:
    """One service of a valid declaration in short."""

    name: str
    organisation: str
    state: ServiceState
    endpoints: int
    slots: int


@frozen
class CheckReport:
    """Whether a declaration is valid, and its faults or its services."""

    is_valid: bool
    revision: int = 0
    faults: tuple[Fault, ...] = ()
    services: tuple[ServiceSummary, ...] = ()
