"""Compares the servers of a service at a balancer to find outliers.

It covers what a sidecar can't see: a server that fails from its start has no
usual service time of its own, but is far faster than its peers. It also keeps
servers whose sidecars report the cost of failures from being used as idle.
"""

__all__ = ('ReportedServer', 'ServerComparison')

import statistics
from collections import Counter
from collections.abc import Hashable, Iterable, Sequence

from attrs import define, field, frozen

# The median needs this many reports.
MIN_REPORTS = 3
# A server is too fast below this share of the median. The speeds of sound
# servers differ by a factor of 2.2.
FAST_SHARE = 0.25
# A server is too slow if it exceeds the median by this factor and time. The
# least cost that a sidecar reports for failures is 250 ms.
SLOW_FACTOR = 3.0
SLOW_EXCESS_MS = 200.0
# The largest share of a service and of a data centre that is suspicious. One
# server may be, also where this is less than one.
MAX_SUSPICIOUS_SHARE = 0.2
# Each balancer probes a server that is too fast with one flow after this time,
# which doubles with each probe. With 12 balancers and a maximum of 2 s the
# probes would be a third of the server's usual flows.
MIN_PROBE_INTERVAL_S = 2.0
MAX_PROBE_INTERVAL_S = 8.0


@frozen(repr=False)
class ReportedServer:
    """A server with the service time that its sidecar reported last.

    ``address`` identifies it.
    """

    address: Hashable
    data_center: str
    service_ms: float


@define(eq=False, repr=False)
class _Probe:
    """When the next flow may probe a server. Times are in seconds."""

    due_at: float
    interval_s: float = MIN_PROBE_INTERVAL_S


@define(eq=False, repr=False)
class ServerComparison:
    """The suspicious servers of one service, by address.

    Times are in monotonic seconds.
    """

    suspicious: frozenset[Hashable] = frozenset()
    median_ms: float = 0
    _probes: dict[Hashable, _Probe] = field(factory=dict)

    def update(self, now: float, servers: Sequence[ReportedServer]) -> None:
        """Find the outliers among the servers with a current report."""
        if len(servers) < MIN_REPORTS:
            self.suspicious = frozenset()
            self.median_ms = 0
            return
        self.median_ms = _sound_median_ms(
            [server.service_ms for server in servers]
        )
        chosen = self._limit(servers)
        too_fast = {
            server.address
            for server in chosen
            if server.service_ms < self.median_ms
        }
        self._keep_probes(now, too_fast)
        self.suspicious = frozenset(
            server.address
            for server in chosen
            if not self._is_probed(now, server.address)
        )

    def least_service_ms(self, service_ms: float) -> float:
        """Return the service time to assume at least for a server.

        It is the median for a server that is too fast. Those beyond the limit
        of suspicious servers would be preferred to all others otherwise.
        """
        is_too_fast = service_ms < self.median_ms * FAST_SHARE
        return self.median_ms if is_too_fast else 0

    def record_flow(self, now: float, address: Hashable) -> None:
        """Count a new flow, which ends a probe of its server."""
        probe = self._probes.get(address)
        if probe is None or now < probe.due_at:
            return
        probe.interval_s = min(MAX_PROBE_INTERVAL_S, probe.interval_s * 2)
        probe.due_at = now + probe.interval_s
        self.suspicious |= {address}

    def _limit(self, servers: Sequence[ReportedServer]) -> list[ReportedServer]:
        """Return the clearest outliers, as many as may be suspicious."""
        outliers = [
            server for server in servers if self._is_outlier(server.service_ms)
        ]
        outliers.sort(key=self._deviation, reverse=True)
        by_data_center = Counter(server.data_center for server in servers)
        limits = {
            name: _max_suspicious(count)
            for name, count in by_data_center.items()
        }
        chosen = []
        for server in outliers:
            if limits[server.data_center] > 0:
                limits[server.data_center] -= 1
                chosen.append(server)
        return chosen[: _max_suspicious(len(servers))]

    def _is_outlier(self, service_ms: float) -> bool:
        return service_ms < self.median_ms * FAST_SHARE or _is_too_slow(
            service_ms, self.median_ms
        )

    def _deviation(self, server: ReportedServer) -> float:
        ratio = server.service_ms / self.median_ms
        return max(ratio, 1 / ratio)

    def _keep_probes(self, now: float, too_fast: Iterable[Hashable]) -> None:
        self._probes = {
            address: self._probes.get(address)
            or _Probe(now + MIN_PROBE_INTERVAL_S)
            for address in too_fast
        }

    def _is_probed(self, now: float, address: Hashable) -> bool:
        probe = self._probes.get(address)
        return probe is not None and now >= probe.due_at


def _is_too_slow(service_ms: float, reference_ms: float) -> bool:
    return (
        service_ms > reference_ms * SLOW_FACTOR
        and service_ms > reference_ms + SLOW_EXCESS_MS
    )


def _sound_median_ms(service_ms: list[float]) -> float:
    """Return the median without servers that are far above the quartile.

    If half of the servers report the cost of failures, the sound ones would
    be far below a median that includes these.
    """
    lower_quartile_ms = sorted(service_ms)[len(service_ms) // 4]
    return statistics.median(
        each for each in service_ms if not _is_too_slow(each, lower_quartile_ms)
    )


def _max_suspicious(servers: int) -> int:
    return max(1, int(servers * MAX_SUSPICIOUS_SHARE))
