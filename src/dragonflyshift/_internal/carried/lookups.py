"""Lookups of the sidecars that own unknown flows.

The packets of a flow are held while its likely owners receive an ownership
query. The owner replies and receives the packets. A sidecar that has just
restarted may have no record of flows that its server holds, and replies that
it is unsure. Unless another sidecar replies that it owns the flow, the packets
go to the unsure sidecars as flow probes of their servers.

When all likely owners reply that they don't own the flow, all other sidecars
are queried, as the flow may be older than its route. When these deny it too,
the readers of the store are requested to send their status, as the view may
lack a sidecar. If it then lists no further one, the flow's server has ended.
"""

__all__ = (
    'LookupCallbacks',
    'LookupTable',
    'PendingLookup',
    'find_candidates',
    'sidecar_addresses',
)

import logging
from collections.abc import Callable, Mapping

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
)
from dragonflyshift._internal.carried.records import EndpointRecord

logger = logging.getLogger(__name__)

# After this time unsure sidecars receive probes and unlikely owners receive
# queries even if replies are missing. Covers a round trip and one scheduling
# delay on a busy processor.
QUERY_TIMEOUT_S = 0.03
# Limit for a lookup without an owner; the client retransmits the packet.
LOOKUP_LIFETIME_S = 0.3
# Time for a reader of the store to report an endpoint that this view lacks.
VIEW_CONFIRMATION_S = 0.05
MAX_LOOKUPS = 2048
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
            for record in view.newest_by_host().values()
        ),
        view.routed_services(key),
    )


def sidecar_addresses(
    view: FleetView,
    sidecar_address: Callable[[EndpointRecord], SocketAddress],
) -> set[SocketAddress]:
    """Return the addresses of all sidecars of a view."""
    return set(map(sidecar_address, view.newest_by_host().values()))


@define(eq=False, repr=False)
class PendingLookup:
    """A lookup under way, with the held packets of its flow.

    ``is_widened`` is set once also the unlikely owners received a query.
    ``queried`` are the sidecars that received a query, ``answered`` those that
    replied that they don't own the flow or are unsure, ``unsure`` the latter.
    ``is_probed`` is set once the unsure sidecars received flow probes.
    ``denied_at`` is when all sidecars had replied that they don't own the flow.
    """

    candidates: OwnerCandidates
    started_at: float
    packets: list[Packet] = field(factory=list)
    queried: set[SocketAddress] = field(factory=set)
    unsure: set[SocketAddress] = field(factory=set)
    answered: set[SocketAddress] = field(factory=set)
    is_widened: bool = field(default=False)
    is_probed: bool = field(default=False)
    denied_at: float | None = field(default=None)

    @property
    def probed(self) -> list[SocketAddress]:
        """The unsure sidecars whose servers may receive flow probes."""
        return sorted(self.unsure.intersection(self.candidates.likely))


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

    ``started`` counts lookups, ``dropped`` packets beyond the limits.
    """

    callbacks: LookupCallbacks
    pending: dict[FlowKey, PendingLookup] = field(factory=dict)
    started: int = field(default=0)
    dropped: int = field(default=0)

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
        self.pending[packet.key] = lookup
        self.started += 1
        self._send_queries(lookup, candidates.likely)
        self._check_replies(now, lookup)

    def on_owned(self, key: FlowKey, address: SocketAddress) -> None:
        """Send the held packets to the owner."""
        lookup = self.pending.pop(key, None)
        if lookup is None:
            return
        if lookup.is_probed and address in lookup.probed:
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
            lookup.unsure.discard(address)
            lookup.answered.add(address)
            self._check_replies(now, lookup)

    def on_unsure(
        self, now: float, key: FlowKey, address: SocketAddress
    ) -> None:
        """Record the reply that a sidecar may own the flow."""
        lookup = self.pending.get(key)
        if lookup is not None:
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
                self._send_probes(lookup)
                self._widen(lookup)

    def _check_replies(self, now: float, lookup: PendingLookup) -> None:
        if not lookup.answered >= lookup.queried:
            return
        if lookup.unsure:
            self._send_probes(lookup)
        elif not lookup.is_widened:
            self._widen(lookup)
            self._check_replies(now, lookup)
        elif lookup.denied_at is None:
            lookup.denied_at = now
            self.callbacks.request_reader_statuses()

    def _send_probes(self, lookup: PendingLookup) -> None:
        """Send the held packets as probes to the unsure sidecars, once.

        A sidecar that may have no record of some flows delivers a forwarded
        packet of an unknown flow to its server as a flow probe.
        """
        if lookup.is_probed or not lookup.unsure:
            return
        lookup.is_probed = True
        for packet in lookup.packets:
            for address in lookup.probed:
                self._forward(lookup, packet, address)

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
        if lookup.is_probed:
            for address in lookup.probed:
                self._forward(lookup, packet, address)
