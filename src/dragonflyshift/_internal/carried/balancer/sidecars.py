"""What a balancer believes of each sidecar."""

__all__ = ('SidecarEntry', 'SidecarTable')

from collections.abc import Iterable

from attrs import define, field

from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.placement import PlacementOption
from dragonflyshift._internal.carried.records import EndpointRecord

MS_PER_S = 1000
# A sidecar that didn't answer is placed last for this long, or until heard.
SUSPECT_S = 1.0
# A report this old says nothing on the load of now.
REPORT_LIFETIME_S = 3.0
# Servers are full for moments; one that bounces all says so again.
FULL_REPORT_LIFETIME_S = 0.3
# Datagrams overtake each other by less than this; a report with a lower
# number that comes later is from a sidecar that has restarted.
MAX_REORDERING_S = 0.1


@define(eq=False, repr=False)
class SidecarEntry:
    """The newest report of a sidecar, and what was sent there since."""

    load: LoadReport | None = None
    reported_at: float = float('-inf')
    sent_since: int = 0
    suspect_until: float = float('-inf')
    knows_all: bool = True


@define(eq=False, repr=False)
class SidecarTable:
    """Beliefs by the sidecar's address."""

    data_center: str
    entries: dict[SocketAddress, SidecarEntry] = field(factory=dict)
    # When this balancer first saw a start of a backend server.
    _first_seen_at: dict[tuple[str, int], float] = field(factory=dict)

    def entry(self, pair: SocketAddress) -> SidecarEntry:
        """Return the belief of a sidecar, an empty one at first."""
        entry = self.entries.get(pair)
        if entry is None:
            entry = SidecarEntry()
            self.entries[pair] = entry
        return entry

    def record_report(
        self, now: float, pair: SocketAddress, load: LoadReport
    ) -> None:
        """Take over a report, unless a newer one of that process is known."""
        entry = self.entry(pair)
        entry.suspect_until = float('-inf')
        previous = entry.load
        is_older = previous is not None and load.sequence < previous.sequence
        if is_older and now - entry.reported_at < MAX_REORDERING_S:
            return
        entry.load = load
        entry.reported_at = now
        entry.sent_since = 0
        entry.knows_all = load.knows_all

    def report_age_ms(self, now: float, pair: SocketAddress) -> int | None:
        """Return the age of the newest report, None without one."""
        entry = self.entry(pair)
        if entry.load is None:
            return None
        return int((now - entry.reported_at) * MS_PER_S)

    def count_flow(self, pair: SocketAddress) -> None:
        """Count a new flow that was sent to a sidecar."""
        self.entry(pair).sent_since += 1

    def mark_suspect(self, now: float, pair: SocketAddress) -> None:
        """Take note that a sidecar didn't answer."""
        self.entry(pair).suspect_until = now + SUSPECT_S

    def keep_only(self, pairs: Iterable[SocketAddress]) -> None:
        """Drop the beliefs of sidecars that are gone."""
        gone = set(self.entries).difference(pairs)
        for pair in gone:
            self.entries.pop(pair)

    def placement_option(
        self,
        now: float,
        record: EndpointRecord,
        pair: SocketAddress,
    ) -> PlacementOption:
        """Describe an endpoint for the placement policy."""
        entry = self.entry(pair)
        age_s = now - entry.reported_at
        load = entry.load
        if age_s > _report_lifetime_s(load):
            load = None
        start = (record.name, record.started_ms)
        first_seen_at = self._first_seen_at.setdefault(start, now)
        return PlacementOption(
            record=record,
            load=load,
            age_ms=age_s * MS_PER_S,
            sent_since=entry.sent_since,
            is_local=record.data_center == self.data_center,
            is_suspect=now < entry.suspect_until,
            is_cold=(now - first_seen_at) * MS_PER_S < record.warmup_ms,
        )


def _report_lifetime_s(load: LoadReport | None) -> float:
    if load is not None and load.state is BackendState.FULL:
        return FULL_REPORT_LIFETIME_S
    return REPORT_LIFETIME_S
