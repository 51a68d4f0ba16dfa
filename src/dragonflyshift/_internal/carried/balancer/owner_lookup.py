"""Lookup of the sidecars that own flows unknown to this balancer.

A flow that no sidecar owns has lost its server. It is reset only if the view
is current and a held packet has a payload or closes the flow, as its client
then repeats the packet until it is acknowledged.
"""

__all__ = ('OwnerLookup', 'OwnerLookupCallbacks')

import logging
from collections.abc import Callable, Iterable

from attrs import define, field

from dragonflyshift._internal.carried.balancer.delegated_lookups import (
    DelegatedLookupCallbacks,
    DelegatedLookups,
)
from dragonflyshift._internal.carried.balancer.sidecars import SidecarTable
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.lookups import (
    LookupCallbacks,
    LookupTable,
    PendingLookup,
    find_candidates,
    find_owners,
    sidecar_addresses,
)
from dragonflyshift._internal.carried.messages import LookupResult
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    PacketCodec,
    SocketAddress,
    flow_name,
)
from dragonflyshift._internal.carried.policies.candidates import (
    CandidateRing,
)
from dragonflyshift._internal.carried.policies.owner_search import (
    is_server_lost,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.telemetry import Counters

logger = logging.getLogger(__name__)

# For more sidecars than this a lookup is delegated to a sidecar: each ownership
# query and its reply take a balancer with a sixth of a core 0.4 ms.
MAX_QUERIED_SIDECARS = 16
# Interval of the requests to all sidecars after a start, however many lookups
# end meanwhile.
STATUS_REQUEST_INTERVAL_S = 0.1


@define(eq=False, repr=False)
class OwnerLookupCallbacks:
    """Functions that a lookup calls to send and to query its daemon.

    ``sidecar_of(record)`` returns the address of the sidecar of a backend
    server. ``is_view_current(now)`` returns whether the view is regarded as
    complete, ``is_view_settled(now)`` whether it would hold the entries that
    lapsed in an outage right before its first listing.
    ``has_same_view(sidecars)`` returns whether sidecars have reported the same
    endpoints as this view lists. ``request_reader_statuses()`` requests the
    status of the daemons that read the store, ``request_statuses(sidecars)``
    that of sidecars. ``on_owner_found(now, key, sidecar)`` reports the owner
    that a delegated lookup found.
    """

    to_sidecar: Callable[[bytes, SocketAddress], None]
    to_client: Callable[[bytes, FlowKey], None]
    sidecar_of: Callable[[EndpointRecord], SocketAddress]
    is_view_current: Callable[[float], bool]
    is_view_settled: Callable[[float], bool]
    has_same_view: Callable[[Iterable[SocketAddress]], bool]
    request_reader_statuses: Callable[[], None]
    request_statuses: Callable[[float, Iterable[SocketAddress]], None]
    on_owner_found: Callable[[float, FlowKey, SocketAddress], None]


@define(eq=False, repr=False)
class OwnerLookup:
    """Finds the sidecar that owns a flow.

    The balancer queries the sidecars itself, or delegates that to one of them
    if they are many.
    """

    view: FleetView
    sidecars: SidecarTable
    candidates: CandidateRing
    callbacks: OwnerLookupCallbacks
    codec: PacketCodec
    counters: Counters
    lookups: LookupTable = field(init=False)
    delegated: DelegatedLookups = field(init=False)
    # When the statuses of all sidecars were last requested.
    _requested_at: float = field(default=float('-inf'))

    def __attrs_post_init__(self) -> None:
        """Create both kinds of lookups."""
        self.lookups = LookupTable(
            LookupCallbacks(
                self.callbacks.to_sidecar,
                self._request_statuses,
                self._on_denied,
                self._on_unanswered,
            ),
        )
        self.delegated = DelegatedLookups(
            DelegatedLookupCallbacks(
                self.callbacks.to_sidecar,
                self.callbacks.on_owner_found,
                self._on_delegated_denied,
                self._on_delegated_unanswered,
                self.sidecars.mark_suspect,
            ),
        )

    def start(self, now: float, packet: Packet) -> None:
        """Look up the owner of a packet's flow."""
        route = self.view.routes.find(packet.key)
        if route is None:
            self.counters.incr('dropped_no_route')
            return
        self.counters.incr('lookups')
        if len(find_owners(self.view)) > MAX_QUERIED_SIDECARS:
            service = route.choose_service(packet.key)
            delegate = self._choose_delegate(now, packet.key, service)
            self.delegated.start(now, packet, service, delegate)
            return
        candidates = find_candidates(
            self.view, packet.key, self.callbacks.sidecar_of
        )
        self.lookups.start(now, packet, candidates)

    def has_waiting(self) -> bool:
        """Return whether a lookup is pending."""
        return bool(self.lookups.pending or self.delegated.pending)

    def tick(self, now: float) -> None:
        """Process the timeouts of pending lookups."""
        self.delegated.tick(now)
        self.lookups.tick(now)

    def _choose_delegate(
        self, now: float, key: FlowKey, service: str
    ) -> SocketAddress:
        """Return the first candidate for the flow that is not suspect.

        Candidates in the own data centre come first. If all are suspect, the
        first one is returned. For a service without endpoints that take new
        flows any sidecar may be the delegate.
        """
        # The placer's endpoints, as the ring of candidates is cached for one
        # list of endpoints a service.
        endpoints = (
            self.view.placeable_endpoints(service) or self.view.listed_servers()
        )
        candidates = [
            self.callbacks.sidecar_of(record)
            for record in self.candidates.choose(service, endpoints, key)
        ]
        for sidecar in candidates:
            if now >= self.sidecars.entry(sidecar).suspect_until:
                return sidecar
        return candidates[0]

    def _is_complete(
        self, now: float, sidecars: Iterable[SocketAddress]
    ) -> bool:
        """Return whether the view lists all living servers.

        Entries that lapsed in an outage return within seconds. A view that
        began with a listing in between lacks them, while the sidecars that ran
        through the outage still list them.
        """
        return self.callbacks.is_view_settled(
            now
        ) or self.callbacks.has_same_view(sidecars)

    def _request_statuses(self) -> None:
        """Request the statuses that confirm that the view is complete."""
        self.callbacks.request_reader_statuses()
        now = self.view.clock()
        is_due = now - self._requested_at > STATUS_REQUEST_INTERVAL_S
        if is_due and not self.callbacks.is_view_settled(now):
            self._requested_at = now
            sidecars = sidecar_addresses(self.view, self.callbacks.sidecar_of)
            self.callbacks.request_statuses(now, sidecars)

    def _on_unanswered(self, lookup: PendingLookup) -> None:
        """Log that a lookup failed.

        The flow isn't reset, as its owner may only have failed to reply.
        """
        self.counters.incr('owner_unknown')
        self._log_lookup('owner-unknown', lookup)

    def _on_denied(self, now: float, lookup: PendingLookup) -> None:
        """Reset a flow that no sidecar owns, so that its client reconnects.

        If the view lists a sidecar that has not been queried, the lookup
        starts again.
        """
        sidecars = sidecar_addresses(self.view, self.callbacks.sidecar_of)
        is_view_current = self.callbacks.is_view_current(now)
        if is_server_lost(
            lookup.queried,
            lookup.answered - lookup.unsure,
            sidecars,
            is_view_current=is_view_current
            and self._is_complete(now, sidecars),
        ):
            if self._reset_flow(lookup.packets):
                self._log_lookup('flow-reset', lookup)
        elif is_view_current and not lookup.queried >= sidecars:
            self.start(now, lookup.packets[-1])
        else:
            self._on_unanswered(lookup)

    def _on_delegated_denied(
        self,
        now: float,
        packets: list[Packet],
        result: LookupResult,
    ) -> None:
        """Reset a flow that no sidecar owns, if both views are the same.

        A delegate of an earlier version queries only the sidecars of the
        present route, so the number of the queried ones must match too.
        """
        is_same_view = (
            result.digest == self.view.checksum
            and result.version == self.view.routes.version
            and result.queried >= len(find_owners(self.view))
        )
        if not is_same_view or not self.callbacks.is_view_current(now):
            self._on_delegated_unanswered(result)
        elif self._reset_flow(packets):
            self._log_delegated('flow-reset', result)

    def _on_delegated_unanswered(self, result: LookupResult) -> None:
        self.counters.incr('owner_unknown')
        self._log_delegated('owner-unknown', result)

    def _reset_flow(self, packets: list[Packet]) -> bool:
        """Reset a flow if its client repeats one of the held packets.

        Without a reset each copy would cost another lookup. Return whether
        the flow was reset.
        """
        if not any(held.is_repeated_until_acknowledged for held in packets):
            return False
        self.counters.incr('resets')
        packet = packets[-1]
        reset = self.codec.build_reset(packet.key, packet.acknowledged)
        self.callbacks.to_client(reset, packet.key)
        return True

    def _log_delegated(self, event: str, result: LookupResult) -> None:
        logger.info(
            event,
            extra={
                'flow': flow_name(result.key),
                'asked': result.queried,
                'answered': result.answered,
                'by_sidecar': True,
                'revision': self.view.revision,
            },
        )

    def _log_lookup(self, event: str, lookup: PendingLookup) -> None:
        logger.info(
            event,
            extra={
                'flow': flow_name(lookup.packets[0].key),
                'asked': len(lookup.queried),
                'answered': len(lookup.answered),
                'unsure': len(lookup.unsure),
                'probed': len(lookup.probed),
                'revision': self.view.revision,
            },
        )
