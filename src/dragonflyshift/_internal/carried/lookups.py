"""Lookups of the sidecars that own unknown flows.

The packets of a flow are held while its likely owners receive an ownership
query. The owner replies and receives the packets. A sidecar that has just
restarted may have no record of flows that its server holds, and replies that
it is unsure. Unless another sidecar replies that it owns the flow, the packets
go to the unsure sidecars as flow probes of their servers. A server that doesn't
hold the flow bounces them, and its sidecar replies that it doesn't own it.

When all likely owners reply that they don't own the flow, all other sidecars
are queried, as the flow may be older than its route. Those that are unsure
receive probes, a few at a time, if the view may lack a former route. When these
deny it too, the readers of the store are requested to send their status, as the
view may lack a sidecar. If it then lists no further one, the flow's server has
ended.
"""

__all__ = (
    'LookupCallbacks',
    'LookupTable',
    'PendingLookup',
    'find_candidates',
    'find_owners',
    'sidecar_addresses',
)

import logging
from collections.abc import Callable, Iterator, Mapping

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.messages import (
    ForwardedPacket,
    OwnershipQuery,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)
from dragonflyshift._internal.carried.policies.owner_search import (
    OwnerCandidates,
    ProbeBudget,
    choose_probes,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.routes import SERVICE_ADDRESS_SLICE

logger = logging.getLogger(__name__)

# After this time unsure sidecars receive probes and unlikely owners receive
# queries even if replies are missing. Covers a round trip and one scheduling
# delay on a busy processor.
QUERY_TIMEOUT_S = 0.03
# Limit for a lookup without an owner; the client retransmits the packet.
LOOKUP_LIFETIME_S = 0.3
# Time for a reader of the store to report an endpoint that this view lacks.
VIEW_CONFIRMATION_S = 0.05
# Probes of one lookup to unlikely owners that wait for a reply. The owner is
# found before most servers have received a packet that isn't theirs.
MAX_UNLIKELY_PROBES = 16
# A probe and its reply take 0.1 to 0.4 ms of a small share of a core.
UNLIKELY_PROBES_PER_S = 500
# A server that has bounced a flow gets no further probe of it for this time,
# whatever its sidecar replies: builds before forget the bounce.
BOUNCE_MEMORY_S = 5.0
# For this time after its first listing a view counts any entry as a server. The
# sidecars of servers whose service was dropped report themselves meanwhile.
UNPROVEN_SERVER_S = 5.0
MAX_LOOKUPS = 2048
MAX_BOUNCED_FLOWS = 2048
MAX_HELD_PACKETS = 16


def find_candidates(
    view: FleetView,
    key: FlowKey,
    sidecar_address: Callable[[EndpointRecord], SocketAddress],
) -> OwnerCandidates:
    """Return the sidecars of a view that may own a flow.

    ``sidecar_address(record)`` returns the address of the sidecar beside an
    endpoint.
    """
    return OwnerCandidates.split(
        (
            (sidecar_address(record), record.service)
            for record in find_owners(view).values()
        ),
        _routed_services(view, key),
        is_complete=view.route_history.is_complete(view.clock()),
    )


def sidecar_addresses(
    view: FleetView,
    sidecar_address: Callable[[EndpointRecord], SocketAddress],
) -> set[SocketAddress]:
    """Return the addresses of all sidecars whose servers may hold flows."""
    return set(map(sidecar_address, find_owners(view).values()))


def find_owners(view: FleetView) -> Mapping[str, EndpointRecord]:
    """Return by host the servers of a view that may hold open flows.

    A view that is older than any flow knows all services that were named
    during a flow's life. A younger one can't tell a server whose service was
    dropped from another writer's entry, so it goes by whether a sidecar answers
    there, and for some seconds by the entry alone.
    """
    listed = view.newest_by_host()
    unnamed = view.unnamed_by_host()
    now = view.clock()
    if not unnamed or view.route_history.is_complete(now):
        return listed
    is_unproven = now - view.listed_since < UNPROVEN_SERVER_S
    owners = dict(listed)
    for host, record in unnamed.items():
        if is_unproven or view.is_answering(host):
            owners[host] = record
    return owners


def _routed_services(view: FleetView, key: FlowKey) -> set[str]:
    """Return the services to which a flow's route leads or has led."""
    address = key[SERVICE_ADDRESS_SLICE]
    services = set(view.route_history.services(view.clock(), address))
    route = view.routes.find(key)
    if route is not None:
        services.update(service.name for service in route.services)
    return services


@define(eq=False, repr=False)
class PendingLookup:
    """A lookup under way, with the held packets of its flow.

    ``is_widened`` is set once also the unlikely owners received a query.
    ``queried`` are the sidecars that received a query, ``answered`` those that
    replied that they don't own the flow or are unsure, ``unsure`` the latter.
    ``probed`` are the sidecars that received flow probes, ``awaited`` those of
    them that have not replied to the probes.
    ``denied_at`` is when all sidecars had replied that they don't own the flow.
    """

    candidates: OwnerCandidates
    started_at: float
    packets: list[Packet] = field(factory=list)
    queried: set[SocketAddress] = field(factory=set)
    unsure: set[SocketAddress] = field(factory=set)
    answered: set[SocketAddress] = field(factory=set)
    probed: set[SocketAddress] = field(factory=set)
    awaited: set[SocketAddress] = field(factory=set)
    is_widened: bool = field(default=False)
    denied_at: float | None = field(default=None)

    @property
    def is_answered(self) -> bool:
        """Whether all queried sidecars have replied."""
        return self.answered >= self.queried


@define(eq=False, repr=False)
class LookupCallbacks:
    """Callbacks of a lookup table.

    ``request_reader_statuses()`` requests the status of the store's readers.
    ``denied(now, lookup)`` is called when all sidecars have replied that they
    don't own the flow and the readers have had time to reply,
    ``unanswered(lookup)`` when a lookup expires before that without an owner.
    """

    send: Callable[[bytes, SocketAddress], None]
    request_reader_statuses: Callable[[], None]
    denied: Callable[[float, PendingLookup], None]
    unanswered: Callable[[PendingLookup], None]


@define(eq=False, repr=False)
class LookupTable:
    """The lookups under way, by flow key.

    ``started`` counts lookups, ``dropped`` packets beyond the limits,
    ``unlikely_probes`` the sidecars of other services that received probes.
    """

    callbacks: LookupCallbacks
    pending: dict[FlowKey, PendingLookup] = field(factory=dict)
    started: int = field(default=0)
    dropped: int = field(default=0)
    unlikely_probes: int = field(default=0)
    # When servers bounced probes, by flow and sidecar.
    _bounced: dict[FlowKey, dict[SocketAddress, float]] = field(factory=dict)
    _budget: ProbeBudget = field(
        factory=lambda: ProbeBudget(UNLIKELY_PROBES_PER_S),
    )

    def start(
        self,
        now: float,
        packet: Packet,
        candidates: OwnerCandidates,
    ) -> None:
        """Hold a packet and send ownership queries to its likely owners."""
        lookup = self.pending.get(packet.key)
        if lookup is not None:
            self._hold_packet(lookup, packet)
            return
        if len(self.pending) >= MAX_LOOKUPS:
            self.dropped += 1
            return
        lookup = PendingLookup(candidates, now, [packet])
        lookup.probed.update(self._bounced_lately(now, packet.key))
        self.pending[packet.key] = lookup
        self.started += 1
        self._send_queries(lookup, candidates.likely)
        self._check_replies(now, lookup)

    def on_owned(self, key: FlowKey, address: SocketAddress) -> None:
        """Send the held packets to the owner."""
        lookup = self.pending.pop(key, None)
        if lookup is None:
            return
        if address in lookup.awaited:
            # The owner already received the packets as probes.
            return
        for packet in lookup.packets:
            self._forward(lookup, packet, address)

    def on_not_owned(
        self, now: float, key: FlowKey, address: SocketAddress
    ) -> None:
        """Record the reply that a sidecar doesn't own the flow."""
        lookup = self.pending.get(key)
        if lookup is not None:
            if address in lookup.awaited:
                self._record_bounce(now, key, address)
            lookup.unsure.discard(address)
            lookup.awaited.discard(address)
            lookup.answered.add(address)
            self._check_replies(now, lookup)

    def on_unsure(
        self, now: float, key: FlowKey, address: SocketAddress
    ) -> None:
        """Record the reply that a sidecar may own the flow.

        In reply to a probe it says that the probe wasn't delivered.
        """
        lookup = self.pending.get(key)
        if lookup is not None:
            lookup.awaited.discard(address)
            lookup.unsure.add(address)
            lookup.answered.add(address)
            self._check_replies(now, lookup)

    def tick(self, now: float) -> None:
        """Send due probes, and end lookups that are complete or expired."""
        for key, lookup in tuple(self.pending.items()):
            if lookup.denied_at is not None:
                if now - lookup.denied_at > VIEW_CONFIRMATION_S:
                    self.pending.pop(key)
                    self.callbacks.denied(now, lookup)
            elif now - lookup.started_at > LOOKUP_LIFETIME_S:
                self.pending.pop(key)
                self.callbacks.unanswered(lookup)
            elif now - lookup.started_at > QUERY_TIMEOUT_S:
                self._send_probes(now, lookup)
                self._widen(lookup)

    def _record_bounce(
        self, now: float, key: FlowKey, address: SocketAddress
    ) -> None:
        while len(self._bounced) >= MAX_BOUNCED_FLOWS:
            self._bounced.pop(next(iter(self._bounced)))
        self._bounced.setdefault(key, {})[address] = now

    def _bounced_lately(
        self, now: float, key: FlowKey
    ) -> Iterator[SocketAddress]:
        for address, bounced_at in self._bounced.get(key, {}).items():
            if now - bounced_at < BOUNCE_MEMORY_S:
                yield address

    def _check_replies(self, now: float, lookup: PendingLookup) -> None:
        """Take the next step of a lookup once all replies have arrived."""
        if not lookup.is_answered:
            return
        self._send_probes(now, lookup)
        if lookup.awaited:
            return
        if not lookup.is_widened:
            self._widen(lookup)
            self._check_replies(now, lookup)
        elif not lookup.unsure and lookup.denied_at is None:
            lookup.denied_at = now
            self.callbacks.request_reader_statuses()

    def _send_probes(self, now: float, lookup: PendingLookup) -> None:
        """Send the held packets as probes to unsure sidecars, once to each.

        A sidecar that may have no record of some flows delivers a forwarded
        packet of an unknown flow to its server as a flow probe.
        """
        for address in self._next_probes(now, lookup):
            lookup.probed.add(address)
            lookup.awaited.add(address)
            for packet in lookup.packets:
                self._forward(lookup, packet, address)

    def _next_probes(
        self, now: float, lookup: PendingLookup
    ) -> list[SocketAddress]:
        targets = choose_probes(lookup.candidates, lookup.unsure, lookup.probed)
        if not targets or targets[0] in lookup.candidates.likely:
            return targets
        if lookup.awaited or not lookup.is_widened:
            return []
        count = self._budget.take(now, min(len(targets), MAX_UNLIKELY_PROBES))
        self.unlikely_probes += count
        return targets[:count]

    def _widen(self, lookup: PendingLookup) -> None:
        """Send ownership queries also to the unlikely owners, once."""
        if not lookup.is_widened:
            lookup.is_widened = True
            self._send_queries(lookup, lookup.candidates.others)

    def _send_queries(
        self, lookup: PendingLookup, sidecars: Mapping[SocketAddress, str]
    ) -> None:
        packet = lookup.packets[0]
        queries = {
            service: OwnershipQuery(
                service, packet.key, packet.acknowledged
            ).encode()
            for service in set(sidecars.values())
        }
        lookup.queried.update(sidecars)
        for address, service in sorted(sidecars.items()):
            self.callbacks.send(queries[service], address)

    def _forward(
        self, lookup: PendingLookup, packet: Packet, address: SocketAddress
    ) -> None:
        service = lookup.candidates.service_of(address)
        datagram = ForwardedPacket(service, packet.raw)
        self.callbacks.send(datagram.encode(), address)

    def _hold_packet(self, lookup: PendingLookup, packet: Packet) -> None:
        if len(lookup.packets) >= MAX_HELD_PACKETS:
            self.dropped += 1
            return
        lookup.packets.append(packet)
        for address in sorted(lookup.awaited):
            self._forward(lookup, packet, address)
