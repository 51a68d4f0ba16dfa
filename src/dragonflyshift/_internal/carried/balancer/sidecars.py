"""The load and the availability of the sidecars from reports and timeouts."""

__all__ = ('SidecarEntry', 'SidecarTable')

import importlib
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field

from dragonflyshift._internal.carried.load import BackendState, LoadReport
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.placement import PlacementOption
from dragonflyshift._internal.carried.records import EndpointRecord

if TYPE_CHECKING:
    from dragonflyshift._internal.carried.policies.server_comparison import (
        ReportedServer,
        ServerComparison,
    )

logger = logging.getLogger(__name__)

MS_PER_S = 1000
# A sidecar that didn't reply is placed last for this long, or until its next
# report.
SUSPECT_S = 1.0
# An older report doesn't describe the current load any more.
REPORT_LIFETIME_S = 3.0
# A server is full only for moments. One that keeps bouncing first packets
# reports this again.
FULL_REPORT_LIFETIME_S = 0.3
# Datagrams are reordered within less than this. A report with a lower sequence
# number that arrives later comes from a sidecar that has restarted.
MAX_REORDERING_S = 0.1
# The servers of a service are compared at most this often, so that the
# placement of a flow stays cheap at services with many servers: one comparison
# of 50 servers takes 0.1 ms. A failing server must lose its flows in a second.
COMPARISON_INTERVAL_S = 0.5
_COMPARISON_MODULE = (
    'dragonflyshift._internal.carried.policies.server_comparison'
)


@define(eq=False, repr=False)
class SidecarEntry:
    """The newest report of a sidecar and the flows sent to it since.

    Times are in seconds of the monotonic clock. ``sent_since`` counts the new
    flows after the report. ``knows_all`` means that the sidecar's flow table
    holds all flows of the server. It is False after a restart of the sidecar,
    until no flow from before the restart can be missing.
    """

    load: LoadReport | None = None
    reported_at: float = float('-inf')
    sent_since: int = 0
    suspect_until: float = float('-inf')
    knows_all: bool = True


@define(eq=False, repr=False)
class SidecarTable:
    """The entries of all sidecars, by address.

    With ``compares_servers`` servers whose service times are outliers in their
    service are avoided.
    """

    data_center: str
    compares_servers: bool = False
    entries: dict[SocketAddress, SidecarEntry] = field(factory=dict)
    # When this balancer first saw a backend server, by the name and the start
    # time of the server.
    _first_seen_at: dict[tuple[str, int], float] = field(factory=dict)
    # The comparisons and the times of their last updates, by service.
    _comparisons: 'dict[str, ServerComparison]' = field(factory=dict)
    _compared_at: dict[str, float] = field(factory=dict)

    def entry(self, address: SocketAddress) -> SidecarEntry:
        """Return the entry of a sidecar; create it if there is none."""
        entry = self.entries.get(address)
        if entry is None:
            entry = SidecarEntry()
            self.entries[address] = entry
        return entry

    def record_report(
        self, now: float, address: SocketAddress, load: LoadReport
    ) -> None:
        """Store a report unless it is older than the one that is stored.

        Any report clears the suspicion.
        """
        entry = self.entry(address)
        entry.suspect_until = float('-inf')
        previous = entry.load
        is_older = previous is not None and load.sequence < previous.sequence
        if is_older and now - entry.reported_at < MAX_REORDERING_S:
            return
        entry.load = load
        entry.reported_at = now
        entry.sent_since = 0
        entry.knows_all = load.knows_all

    def report_age_ms(self, now: float, address: SocketAddress) -> int | None:
        """Return the age of the newest report, or None without a report."""
        entry = self.entry(address)
        if entry.load is None:
            return None
        return int((now - entry.reported_at) * MS_PER_S)

    def count_flow(
        self, now: float, address: SocketAddress, service: str
    ) -> None:
        """Count a new flow that is sent to a sidecar."""
        self.entry(address).sent_since += 1
        comparison = self._comparisons.get(service)
        if comparison is not None:
            comparison.record_flow(now, address)

    def compare(
        self,
        now: float,
        service: str,
        endpoints: Sequence[EndpointRecord],
        sidecar_of: Callable[[EndpointRecord], SocketAddress],
    ) -> None:
        """Compare the servers of a service, unless it was done just before."""
        if not self.compares_servers:
            return
        compared_at = self._compared_at.get(service, float('-inf'))
        if now - compared_at < COMPARISON_INTERVAL_S:
            return
        self._compared_at[service] = now
        comparison = self._comparisons.get(service)
        if comparison is None:
            comparison = _comparison_module().ServerComparison()
            self._comparisons[service] = comparison
        previous = comparison.suspicious
        servers = (
            self._reported(now, record, sidecar_of(record))
            for record in endpoints
        )
        comparison.update(now, [each for each in servers if each is not None])
        if comparison.suspicious != previous:
            _log_suspicious(service, comparison)

    def suspicious_count(self) -> int:
        """Return the number of suspicious servers of all services."""
        return sum(
            len(comparison.suspicious)
            for comparison in self._comparisons.values()
        )

    def mark_suspect(self, now: float, address: SocketAddress) -> None:
        """Mark a sidecar that didn't reply as suspect."""
        self.entry(address).suspect_until = now + SUSPECT_S

    def keep_only(self, addresses: Iterable[SocketAddress]) -> None:
        """Remove the entries of all sidecars but these."""
        removed = set(self.entries).difference(addresses)
        for address in removed:
            self.entries.pop(address)

    def assume_idle(
        self, now: float, addresses: Iterable[SocketAddress]
    ) -> None:
        """Regard sidecars as idle until their next reports.

        Their last reports say that they accept no new flows, but still hold
        the service times of their servers.
        """
        for address in addresses:
            entry = self.entries.get(address)
            if entry is not None and entry.load is not None:
                entry.load = evolve(
                    entry.load, state=BackendState.SERVING, busy=0, waiting=0
                )
                entry.reported_at = now
                entry.sent_since = 0

    def placement_option(
        self,
        now: float,
        record: EndpointRecord,
        address: SocketAddress,
    ) -> PlacementOption:
        """Return what the placement policy needs about an endpoint."""
        entry = self.entry(address)
        comparison = self._comparisons.get(record.service)
        age_s = now - entry.reported_at
        load = entry.load
        if age_s > _report_lifetime_s(load):
            load = None
        start = (record.name, record.started_ms)
        first_seen_at = self._first_seen_at.setdefault(start, now)
        least_service_ms: float = 0
        if comparison is not None and load is not None:
            least_service_ms = comparison.least_service_ms(load.service_ms)
        return PlacementOption(
            record=record,
            load=load,
            age_ms=age_s * MS_PER_S,
            sent_since=entry.sent_since,
            is_local=record.data_center == self.data_center,
            is_suspect=now < entry.suspect_until,
            is_cold=(now - first_seen_at) * MS_PER_S < record.warmup_ms,
            is_suspicious=(
                comparison is not None and address in comparison.suspicious
            ),
            least_service_ms=least_service_ms,
            sidecar=address,
        )

    def _reported(
        self, now: float, record: EndpointRecord, address: SocketAddress
    ) -> 'ReportedServer | None':
        entry = self.entries.get(address)
        if entry is None or entry.load is None:
            return None
        if now - entry.reported_at > _report_lifetime_s(entry.load):
            return None
        reported: ReportedServer = _comparison_module().ReportedServer(
            address, record.data_center, entry.load.service_ms
        )
        return reported


def _comparison_module() -> Any:
    """Import the module on first use, to keep a balancer's start short."""
    return importlib.import_module(_COMPARISON_MODULE)


def _log_suspicious(service: str, comparison: 'ServerComparison') -> None:
    logger.info(
        'servers-suspicious',
        extra={
            'service': service,
            'sidecars': sorted(map(str, comparison.suspicious)),
            'median_ms': round(comparison.median_ms, 1),
        },
    )


def _report_lifetime_s(load: LoadReport | None) -> float:
    if load is not None and load.state is BackendState.FULL:
        return FULL_REPORT_LIFETIME_S
    return REPORT_LIFETIME_S
