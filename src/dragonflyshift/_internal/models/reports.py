"""What a daemon reports to the operators' command line."""

from attrs import field, frozen


class Report:
    """Base of reports: a tool that is older than the daemon ignores keys."""


@frozen
class MemberReport(Report):
    """What a daemon believes of one member."""

    address: str
    state: str
    boot: int = 0
    epoch: int = 0
    free_slots: int = 0
    queued: int = 0


@frozen
class StatusReport(Report):
    """A daemon's view; ``version`` holds the one in force for each key."""

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


@frozen
class CandidateReport(Report):
    """An endpoint that was weighed for a flow."""

    name: str
    address: str
    state: str
    score: float = 0
    reachable: bool = True


@frozen
class RouteReport(Report):
    """Where a packet or a new flow would go, and why."""

    decision: str
    reason: str
    service: str = ''
    candidates: tuple[CandidateReport, ...] = ()
