"""New flows on their way to a sidecar that takes them."""

__all__ = ('NewFlowPlacer', 'PendingFlow', 'PlacerPorts')

import logging
import random
from collections.abc import Callable, Sequence

from attrs import define, field

from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.messages import AdmissionRequest
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)
from dragonflyshift._internal.carried.policies.candidates import (
    CandidateRing,
)
from dragonflyshift._internal.carried.policies.placement import (
    FlowPlacement,
    LocalityPenalty,
    PlacementOption,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import Route, TransferKind

logger = logging.getLogger(__name__)

# A sidecar answers within the round trip and its own turn on the processor.
REPLY_TIMEOUT_S = 0.06
# Servers believed to be idle that are asked before the flow has to wait.
MAX_IDLE_OFFERS = 3
# Servers that are asked to let it wait.
MAX_FINAL_OFFERS = 2
# Clients repeat a first packet for 1.4 s, then give up.
PLACEMENT_TIMEOUT_S = 1.3
# While no sidecar can take the flow, it is offered again this often.
RETRY_PERIOD_S = 0.1
# A service without endpoints for so long is taken as wound down; entries
# lapse and return within three heartbeats.
EMPTY_SERVICE_GRACE_S = 4.0
MAX_PENDING = 4096
MS_PER_S = 1000
# Crossing costs the way, 3 ms, and bytes; large transfers cost far more.
SMALL_TRANSFER_PENALTY = LocalityPenalty(data_center_ms=20.0, region_ms=200.0)
LARGE_TRANSFER_PENALTY = LocalityPenalty(data_center_ms=150.0, region_ms=1500.0)
_LARGE_TRANSFERS = frozenset((TransferKind.DOWNLOAD, TransferKind.UPLOAD))


@define(eq=False, repr=False)
class PendingFlow:
    """A flow's first packet that no sidecar has taken yet."""

    packet: Packet
    received_at: float
    tried: list[SocketAddress] = field(factory=list)
    offered_at: float = field(default=float('-inf'))
    offered_to: SocketAddress | None = field(default=None)
    final_offers: int = field(default=0)
    preferred: SocketAddress | None = field(default=None)


@define(eq=False, repr=False)
class PlacerPorts:
    """How the opener sends and refuses.

    ``sidecar_of(record)`` gives the address of the sidecar beside a backend
    server; ``refuse(key, reason)`` resets a flow that has not run.
    """

    send: Callable[[bytes, SocketAddress], None]
    sidecar_of: Callable[[EndpointRecord], SocketAddress]
    refuse: Callable[[FlowKey, str], None]
    is_view_current: Callable[[float], bool]


@define(eq=False, repr=False)
class NewFlowPlacer:
    """Offer new flows to sidecars, one after the other, until one accepts."""

    view: FleetView
    sidecars: SidecarTable
    placement: FlowPlacement
    ports: PlacerPorts
    rng: random.Random
    candidates: CandidateRing
    pending: dict[FlowKey, PendingFlow] = field(factory=dict)
    # Since when a service has had no endpoint at all.
    _empty_since: dict[str, float] = field(factory=dict)

    def place(
        self,
        now: float,
        packet: Packet,
        preferred: SocketAddress | None = None,
    ) -> None:
        """Place a new flow, with a sidecar that took it before if it can."""
        pending = self.pending.get(packet.key)
        if pending is None:
            if len(self.pending) >= MAX_PENDING:
                self.ports.refuse(packet.key, 'too-many-pending')
                return
            pending = PendingFlow(packet, now, preferred=preferred)
            self.pending[packet.key] = pending
        elif now - pending.offered_at < REPLY_TIMEOUT_S:
            return
        self._offer(now, pending)

    def place_elsewhere(
        self, now: float, packet: Packet, refused_by: SocketAddress
    ) -> None:
        """Place a flow whose sidecar could not get it to its server."""
        pending = self.pending.get(packet.key)
        if pending is None:
            pending = PendingFlow(packet, now)
            self.pending[packet.key] = pending
        pending.offered_to = refused_by
        self.on_refused(now, packet.key, refused_by)

    def stop_placing(self, key: FlowKey) -> None:
        """Stop placing a flow that a sidecar has, or that is open."""
        self.pending.pop(key, None)

    def on_refused(self, now: float, key: FlowKey, pair: SocketAddress) -> None:
        """Offer a refused flow to the next sidecar."""
        pending = self.pending.get(key)
        if pending is None or pending.offered_to != pair:
            return
        if pair not in pending.tried:
            pending.tried.append(pair)
        self._offer(now, pending)

    def tick(self, now: float) -> None:
        """Go on where a sidecar didn't answer, and give up what is late."""
        for key, pending in tuple(self.pending.items()):
            if now - pending.received_at > PLACEMENT_TIMEOUT_S:
                self.pending.pop(key)
                self.ports.refuse(key, 'not-placed-in-time')
            elif pending.offered_to is not None:
                if now - pending.offered_at > REPLY_TIMEOUT_S:
                    self._on_no_answer(now, pending)
            elif now - pending.offered_at > RETRY_PERIOD_S:
                self._offer(now, pending)

    def view_changed(self, now: float) -> None:
        """Place what waited for a configuration."""
        for pending in tuple(self.pending.values()):
            if pending.offered_to is None:
                self._offer(now, pending)

    def _on_no_answer(self, now: float, pending: PendingFlow) -> None:
        if pending.offered_to is not None:
            self.sidecars.mark_suspect(now, pending.offered_to)
            pending.final_offers = 0
            if pending.offered_to not in pending.tried:
                pending.tried.append(pending.offered_to)
        self._offer(now, pending)

    def _offer(self, now: float, pending: PendingFlow) -> None:
        pending.offered_at = now
        pending.offered_to = None
        key = pending.packet.key
        route = self.view.routes.find(key)
        if route is None:
            self._on_no_route(now, key)
            return
        service = route.service_for(key)
        options = self._options(now, route, service, key)
        if not options:
            self._on_no_endpoint(now, key, service)
            return
        self._empty_since.pop(service, None)
        choice = self._next_option(options, pending)
        if choice is None:
            self.pending.pop(key)
            self.ports.refuse(key, 'all-refused')
            return
        chosen, is_last = choice
        pending.final_offers += is_last
        self._send(now, pending, route, service, chosen, is_last=is_last)

    def _options(
        self,
        now: float,
        route: Route,
        service: str,
        key: FlowKey,
    ) -> list[PlacementOption]:
        endpoints = self.view.endpoints(service)
        candidates = self.candidates.choose(service, endpoints, key)
        options = self._ordered_options(now, route, candidates)
        if not options and len(candidates) < len(endpoints):
            # All of them leave, or are down: look at the whole service.
            options = self._ordered_options(now, route, endpoints)
        return options

    def _ordered_options(
        self,
        now: float,
        route: Route,
        endpoints: Sequence[EndpointRecord],
    ) -> list[PlacementOption]:
        options = [
            self.sidecars.placement_option(
                now, record, self.ports.sidecar_of(record)
            )
            for record in endpoints
        ]
        is_large = route.kind in _LARGE_TRANSFERS
        penalty = LARGE_TRANSFER_PENALTY if is_large else SMALL_TRANSFER_PENALTY
        return self.placement.order(options, penalty, self.rng)

    def _next_option(
        self,
        options: list[PlacementOption],
        pending: PendingFlow,
    ) -> tuple[PlacementOption, bool] | None:
        """Choose whom to ask next, and whether it is to keep the flow.

        Servers believed to be idle are asked first, each once. Their answers
        bring the exact load, so the best estimate after them is asked to
        let the flow wait, and if it refuses one more.
        """
        if pending.final_offers >= MAX_FINAL_OFFERS:
            return None
        untried = [
            option
            for option in options
            if self.ports.sidecar_of(option.record) not in pending.tried
        ]
        preferred = self._preferred(untried, pending)
        if preferred is not None:
            return preferred, True
        idle = [option for option in untried if option.is_likely_idle]
        if idle and len(pending.tried) < MAX_IDLE_OFFERS:
            return idle[0], False
        if not pending.final_offers:
            return options[0], True
        return (untried or options)[0], True

    def _preferred(
        self,
        options: list[PlacementOption],
        pending: PendingFlow,
    ) -> PlacementOption | None:
        for option in options:
            if self.ports.sidecar_of(option.record) == pending.preferred:
                return None if option.is_suspect else option
        return None

    def _send(
        self,
        now: float,
        pending: PendingFlow,
        route: Route,
        service: str,
        chosen: PlacementOption,
        *,
        is_last: bool,
    ) -> None:
        pair = self.ports.sidecar_of(chosen.record)
        pending.offered_to = pair
        self.sidecars.count_flow(pair)
        datagram = AdmissionRequest(
            service=service,
            target_ms=route.target_ms,
            timeout_ms=route.timeout_ms,
            priority=route.priority,
            slots=chosen.record.slots,
            version=self.view.routes.version,
            waited_ms=int((now - pending.received_at) * MS_PER_S),
            is_last=is_last,
            is_local=chosen.is_local,
            raw=pending.packet.raw,
        ).encode()
        self.ports.send(datagram, pair)

    def _on_no_route(self, now: float, key: FlowKey) -> None:
        """Refuse when the view is surely complete, else wait for news."""
        if self.view.is_usable and self.ports.is_view_current(now):
            self.pending.pop(key)
            self.ports.refuse(key, 'no-route')

    def _on_no_endpoint(
        self,
        now: float,
        key: FlowKey,
        service: str,
    ) -> None:
        """Refuse once a service has been empty for long, else wait.

        After the loss of everything the servers register again only a moment
        after the balancers have started.
        """
        if self.view.endpoints(service):
            return
        empty_since = self._empty_since.setdefault(service, now)
        if (
            now - empty_since > EMPTY_SERVICE_GRACE_S
            and self.ports.is_view_current(now)
        ):
            self.pending.pop(key)
            self.ports.refuse(key, 'no-endpoint')
