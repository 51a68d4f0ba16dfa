"""Reports of a daemon to the operators' command line."""

from attrs import field, frozen

from dragonflyshift._internal.models.address import Address


class Report:
    """Base of the reports.

    Unknown keys are ignored, so that an older command line can read the
    reports of a newer daemon.
    """


@frozen
class MemberReport(Report):
    """State and load of one member as known to the daemon."""

    address: str
    state: str
    boot: int = 0
    epoch: int = 0
    free_slots: int = 0
    queued: int = 0


@frozen
class EvacuationReport(Report):
    """An evacuated data centre and its sidecars.

    The command line adds ``flows``, the open flows that are left there, and
    ``unreachable``, the number of sidecars that did not report theirs.
    """

    data_center: str
    sidecars: tuple[Address, ...] = ()
    flows: int = 0
    unreachable: int = 0


@frozen
class StatusReport(Report):
    """Status of a daemon; ``version`` maps each key to that in force."""

    role: str
    data_center: str
    instance: str = ''
    service: str = ''
    version: dict[str, int] = field(factory=dict)
    members: tuple[MemberReport, ...] = ()
    flows: int = 0
    slots: int = 0
    running: int = 0
    queued: int = 0
    counters: dict[str, float] = field(factory=dict)
    evacuated: tuple[EvacuationReport, ...] = ()


@frozen
class CandidateReport(Report):
    """An endpoint that was considered for a flow."""

    name: str
    address: str
    state: str
    score: float = 0
    reachable: bool = True


@frozen
class RouteReport(Report):
    """Where a packet or a new flow would be sent, and why."""

    decision: str
    reason: str
    service: str = ''
    candidates: tuple[CandidateReport, ...] = ()
