"""Placement of new flows on sidecars."""

__all__ = ('NewFlowPlacer', 'PendingFlow', 'PlacerCallbacks')

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

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
from dragonflyshift._internal.carried.policies.offers import (
    Offer,
    OfferHistory,
    OfferTrace,
)
from dragonflyshift._internal.carried.policies.placement import (
    FlowPlacement,
    PlacementOption,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import Route, TransferKind

if TYPE_CHECKING:
    from dragonflyshift._internal.carried.balancer.placement_log import (
        PlacementLog,
    )

# After this time without a reply the sidecar is marked as suspect and the flow
# is offered again. Covers a round trip and the scheduling delay of the sidecar.
REPLY_TIMEOUT_S = 0.06
# Clients retransmit a first packet for 1.4 s and then give up.
PLACEMENT_TIMEOUT_S = 1.3
# Interval between attempts while no sidecar is available for the flow.
RETRY_PERIOD_S = 0.1
# A service that has had no endpoint for this long is regarded as shut down. It
# may be empty for a short time, because endpoint records expire and return
# within three heartbeats.
EMPTY_SERVICE_GRACE_S = 4.0
MAX_PENDING = 4096
MS_PER_S = 1000
# How many requests for each slot a server of another data centre must have less
# than a local one to precede it. The bytes of large transfers are expensive.
REMOTE_REQUESTS = 1.2
REMOTE_REQUESTS_LARGE = 10.0
# A placement is slow, and is logged, if it takes this share of the latency
# target of the route.
SLOW_TARGET_SHARE = 0.25
ACCEPTED = 'accepted'
_LARGE_TRANSFERS = frozenset((TransferKind.DOWNLOAD, TransferKind.UPLOAD))


@define(eq=False, repr=False)
class PendingFlow:
    """A new flow that no sidecar has accepted yet.

    ``offered_to`` is the sidecar whose reply is pending, ``traces`` are the
    offers so far and ``target_ms`` is the latency target of the route, known
    from the first offer on. Times are in seconds of the monotonic clock.
    """

    packet: Packet
    received_at: float
    offers: OfferHistory = field(factory=OfferHistory)
    offered_at: float = field(default=float('-inf'))
    offered_to: SocketAddress | None = field(default=None)
    traces: list[OfferTrace] = field(factory=list)
    target_ms: float = 0

    def is_slow(self, now: float) -> bool:
        """Return whether the placement has taken long."""
        waited_ms = (now - self.received_at) * MS_PER_S
        return waited_ms > self.target_ms * SLOW_TARGET_SHARE

    def record_outcome(self, outcome: str) -> None:
        """Record what became of the last offer."""
        if self.traces:
            self.traces[-1].outcome = outcome


@define(eq=False, repr=False)
class PlacerCallbacks:
    """Functions that the placer calls to send, to refuse and to query.

    ``sidecar_of(record)`` returns the address of the sidecar of a backend
    server. ``refuse(key, reason)`` resets a flow that no server has
    accepted.
    ``is_view_current(now)`` returns whether the view is regarded as complete.
    """

    send: Callable[[bytes, SocketAddress], None]
    sidecar_of: Callable[[EndpointRecord], SocketAddress]
    refuse: Callable[[FlowKey, str], None]
    is_view_current: Callable[[float], bool]


@define(eq=False, repr=False)
class NewFlowPlacer:
    """Offers each new flow to one sidecar after another until one accepts."""

    view: FleetView
    sidecars: SidecarTable
    placement: FlowPlacement
    callbacks: PlacerCallbacks
    rng: random.Random
    candidates: CandidateRing
    pending: dict[FlowKey, PendingFlow] = field(factory=dict)
    # The time since which a service has had no endpoints.
    _empty_since: dict[str, float] = field(factory=dict)
    _log: 'PlacementLog | None' = field(default=None)

    def place(
        self,
        now: float,
        packet: Packet,
        preferred_sidecar: SocketAddress | None = None,
    ) -> None:
        """Offer a new flow to a sidecar.

        ``preferred_sidecar`` has accepted the flow before and gets the offer
        unless it is suspect or doesn't accept new flows. A retransmission of
        a first packet is dropped while an offer is pending.
        """
        pending = self.pending.get(packet.key)
        if pending is None:
            if len(self.pending) >= MAX_PENDING:
                self.callbacks.refuse(packet.key, 'too-many-pending')
                return
            pending = PendingFlow(packet, now, OfferHistory(preferred_sidecar))
            self.pending[packet.key] = pending
        elif now - pending.offered_at < REPLY_TIMEOUT_S:
            return
        self._offer(now, pending)

    def place_elsewhere(
        self, now: float, packet: Packet, refused_by: SocketAddress
    ) -> None:
        """Place a flow that its sidecar could not deliver to the server."""
        pending = self.pending.get(packet.key)
        if pending is None:
            pending = PendingFlow(packet, now)
            self.pending[packet.key] = pending
        pending.offered_to = refused_by
        self.on_refused(now, packet.key, refused_by)

    def stop_placing(self, key: FlowKey) -> None:
        """Stop placing a flow that a server has answered."""
        self.pending.pop(key, None)

    def on_accepted(self, now: float, key: FlowKey) -> None:
        """Stop placing a flow that a sidecar has accepted or owns."""
        pending = self.pending.pop(key, None)
        if pending is not None:
            pending.record_outcome(ACCEPTED)
            if pending.is_slow(now):
                self._log_slow(now, pending, ACCEPTED)

    def on_refused(
        self, now: float, key: FlowKey, sidecar: SocketAddress
    ) -> None:
        """Offer a refused flow to the next sidecar."""
        pending = self.pending.get(key)
        if pending is None or pending.offered_to != sidecar:
            return
        pending.offers.record_refusal(sidecar)
        pending.record_outcome('refused')
        self._offer(now, pending)

    def tick(self, now: float) -> None:
        """Retry after timeouts and refuse the flows that are too old."""
        for pending in tuple(self.pending.values()):
            if now - pending.received_at > PLACEMENT_TIMEOUT_S:
                self._end_placement(now, pending)
            elif pending.offered_to is not None:
                if now - pending.offered_at > REPLY_TIMEOUT_S:
                    self._on_no_reply(now, pending)
            elif now - pending.offered_at > RETRY_PERIOD_S:
                self._offer(now, pending)

    def view_changed(self, now: float) -> None:
        """Offer again the flows without a pending offer."""
        for pending in tuple(self.pending.values()):
            if pending.offered_to is None:
                self._offer(now, pending)

    def _end_placement(self, now: float, pending: PendingFlow) -> None:
        """Refuse a flow that was not placed in time.

        A balancer that has never had a configuration says nothing: another one
        may have opened the flow from a copy of the first packet.
        """
        if self.view.is_usable:
            self._refuse(now, pending, 'not-placed-in-time')
            return
        self.pending.pop(pending.packet.key)
        self._log_slow(now, pending, 'no-configuration')

    def _refuse(self, now: float, pending: PendingFlow, reason: str) -> None:
        """Refuse a flow that no sidecar has accepted."""
        key = pending.packet.key
        self.pending.pop(key)
        self.callbacks.refuse(key, reason)
        self._log_slow(now, pending, reason)

    def _log_slow(self, now: float, pending: PendingFlow, result: str) -> None:
        if self._log is None:
            self._log = _create_log()
        self._log.record(
            now,
            pending.packet.key,
            pending.received_at,
            pending.traces,
            result,
        )

    def _on_no_reply(self, now: float, pending: PendingFlow) -> None:
        if pending.offered_to is not None:
            self.sidecars.mark_suspect(now, pending.offered_to)
            pending.offers.record_timeout(pending.offered_to)
        self._offer(now, pending)

    def _offer(self, now: float, pending: PendingFlow) -> None:
        pending.offered_at = now
        pending.offered_to = None
        key = pending.packet.key
        route = self.view.routes.find(key)
        if route is None:
            self._on_no_route(now, key)
            return
        service = route.choose_service(key)
        options = self._options(now, route, service, key)
        if not options:
            self._on_no_endpoint(now, key, service)
            return
        self._empty_since.pop(service, None)
        offer = pending.offers.next_offer(options)
        if offer is None:
            self._refuse(now, pending, 'all-refused')
            return
        pending.traces.append(OfferTrace.of(now, offer, options))
        pending.target_ms = route.target_ms
        self._send(now, pending, route, service, offer)

    def _options(
        self,
        now: float,
        route: Route,
        service: str,
        key: FlowKey,
    ) -> list[PlacementOption]:
        endpoints = self.view.placeable_endpoints(service)
        self.sidecars.compare(
            now, service, endpoints, self.callbacks.sidecar_of
        )
        candidates = self.candidates.choose(service, endpoints, key)
        options = self._ordered_options(now, route, candidates)
        is_any_alive = any(not option.is_suspect for option in options)
        if not is_any_alive and len(candidates) < len(endpoints):
            # None of the candidates accepts new flows, or none replies:
            # consider all endpoints.
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
                now, record, self.callbacks.sidecar_of(record)
            )
            for record in endpoints
        ]
        is_large = route.kind in _LARGE_TRANSFERS
        remote_requests = REMOTE_REQUESTS_LARGE if is_large else REMOTE_REQUESTS
        return self.placement.order(options, remote_requests, self.rng)

    def _send(
        self,
        now: float,
        pending: PendingFlow,
        route: Route,
        service: str,
        offer: Offer,
    ) -> None:
        chosen = offer.option
        pending.offered_to = chosen.sidecar
        self.sidecars.count_flow(now, chosen.sidecar, service)
        datagram = AdmissionRequest(
            service=service,
            target_ms=route.target_ms,
            timeout_ms=route.timeout_ms,
            priority=route.priority,
            slots=chosen.record.slots,
            version=self.view.routes.version,
            waited_ms=int((now - pending.received_at) * MS_PER_S),
            is_last=offer.may_queue,
            is_local=chosen.is_local,
            raw=pending.packet.raw,
        ).encode()
        self.callbacks.send(datagram, chosen.sidecar)

    def _on_no_route(self, now: float, key: FlowKey) -> None:
        """Refuse a flow if the view is complete, else wait for an update."""
        if self.view.is_usable and self.callbacks.is_view_current(now):
            self.pending.pop(key)
            self.callbacks.refuse(key, 'no-route')

    def _on_no_endpoint(
        self,
        now: float,
        key: FlowKey,
        service: str,
    ) -> None:
        """Refuse a flow if its service has been empty for long, else wait.

        After a loss of all machines the servers register again slightly later
        than the balancers start. A flow whose service stands in evacuated data
        centres alone is refused at once, since waiting would not help it.
        """
        if self.view.endpoints(service):
            if not self.view.placeable_endpoints(service):
                self.pending.pop(key)
                self.callbacks.refuse(key, 'evacuated')
            return
        empty_since = self._empty_since.setdefault(service, now)
        if (
            now - empty_since > EMPTY_SERVICE_GRACE_S
            and self.callbacks.is_view_current(now)
        ):
            self.pending.pop(key)
            self.callbacks.refuse(key, 'no-endpoint')


def _create_log() -> 'PlacementLog':
    """Import the module on first use, to keep a balancer's start short."""
    from dragonflyshift._internal.carried.balancer.placement_log import (
        PlacementLog,
    )

    return PlacementLog()
