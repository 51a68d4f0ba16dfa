"""What a balancer believes of each sidecar."""

__all__ = ('SidecarBook', 'SidecarBelief')

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
FULL_LIFETIME_S = 0.3
# Datagrams overtake each other by less than this; a report with a lower
# number that comes later is from a sidecar that has restarted.
REORDER_S = 0.1


@define(eq=False, repr=False)
class SidecarBelief:
    """The newest report of a sidecar, and what was sent there since."""

    load: LoadReport | None = None
    heard_at: float = float('-inf')
    sent_since: int = 0
    suspect_until: float = float('-inf')
    knows_all: bool = True


@define(eq=False, repr=False)
class SidecarBook:
    """Beliefs by the sidecar's address."""

    data_center: str
    beliefs: dict[SocketAddress, SidecarBelief] = field(factory=dict)
    # When this balancer first saw a start of a backend server.
    _seen_at: dict[tuple[str, int], float] = field(factory=dict)

    def belief(self, pair: SocketAddress) -> SidecarBelief:
        """Return the belief of a sidecar, an empty one at first."""
        belief = self.beliefs.get(pair)
        if belief is None:
            belief = SidecarBelief()
            self.beliefs[pair] = belief
        return belief

    def heard(self, now: float, pair: SocketAddress, load: LoadReport) -> None:
        """Take over a report, unless a newer one of that process is known."""
        belief = self.belief(pair)
        belief.suspect_until = float('-inf')
        known = belief.load
        is_older = known is not None and load.sequence < known.sequence
        if is_older and now - belief.heard_at < REORDER_S:
            return
        belief.load = load
        belief.heard_at = now
        belief.sent_since = 0
        belief.knows_all = load.knows_all

    def report_age_ms(self, now: float, pair: SocketAddress) -> int | None:
        """Return the age of the newest report, None without one."""
        belief = self.belief(pair)
        if belief.load is None:
            return None
        return int((now - belief.heard_at) * MS_PER_S)

    def sent(self, pair: SocketAddress) -> None:
        """Count a new flow that was sent to a sidecar."""
        self.belief(pair).sent_since += 1

    def suspect(self, now: float, pair: SocketAddress) -> None:
        """Take note that a sidecar didn't answer."""
        self.belief(pair).suspect_until = now + SUSPECT_S

    def keep_only(self, pairs: Iterable[SocketAddress]) -> None:
        """Drop the beliefs of sidecars that are gone."""
        gone = set(self.beliefs).difference(pairs)
        for pair in gone:
            self.beliefs.pop(pair)

    def option(
        self,
        now: float,
        record: EndpointRecord,
        pair: SocketAddress,
    ) -> PlacementOption:
        """Describe an endpoint for the placement policy."""
        belief = self.belief(pair)
        age_s = now - belief.heard_at
        load = belief.load
        if age_s > _lifetime_s(load):
            load = None
        start = (record.name, record.started_ms)
        seen_at = self._seen_at.setdefault(start, now)
        return PlacementOption(
            record=record,
            load=load,
            age_ms=age_s * MS_PER_S,
            sent_since=belief.sent_since,
            is_local=record.data_center == self.data_center,
            is_suspect=now < belief.suspect_until,
            is_cold=(now - seen_at) * MS_PER_S < record.warmup_ms,
        )


def _lifetime_s(load: LoadReport | None) -> float:
    if load is not None and load.state is BackendState.FULL:
        return FULL_LIFETIME_S
    return REPORT_LIFETIME_S
