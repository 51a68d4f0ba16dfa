"""Delegated lookups: a sidecar finds the owner of a flow for a balancer."""

__all__ = ('LookupDelegate', 'LookupDelegateCallbacks')

from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.lookups import (
    LookupCallbacks,
    LookupTable,
    PendingLookup,
    find_candidates,
    sidecar_addresses,
)
from dragonflyshift._internal.carried.messages import (
    FlowReply,
    FlowStatus,
    LookupOutcome,
    LookupRequest,
    LookupResult,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    PacketCodec,
    SocketAddress,
)
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.exceptions import WireError


@define(eq=False, repr=False)
class LookupDelegateCallbacks:
    """Callbacks of a ``LookupDelegate``.

    ``sidecar_address(record)`` returns the peer address of the sidecar beside
    an endpoint. ``request_reader_statuses()`` requests a status from the
    daemons that read the store. ``on_malformed(error)`` records a packet that
    can't be decoded.
    """

    send: Callable[[bytes, SocketAddress], None]
    sidecar_address: Callable[[EndpointRecord], SocketAddress]
    request_reader_statuses: Callable[[], None]
    on_malformed: Callable[[WireError], None]


@define(eq=False, repr=False)
class LookupDelegate:
    """Processes the lookup requests of balancers.

    It sends an ownership query to each sidecar that may own the flow, and
    sends the result to the balancers that requested it.
    """

    view: FleetView
    codec: PacketCodec
    callbacks: LookupDelegateCallbacks
    lookups: LookupTable = field(init=False)
    # Balancers that requested each lookup. Copies of one packet may arrive
    # through several balancers.
    _requesters: dict[FlowKey, set[SocketAddress]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the lookups with callbacks to this object."""
        self.lookups = LookupTable(
            LookupCallbacks(
                self.callbacks.send,
                self.callbacks.request_reader_statuses,
                self._on_denied,
                self._on_unanswered,
            ),
        )

    def on_message(
        self,
        now: float,
        message: LookupRequest | FlowReply,
        sender: SocketAddress,
    ) -> None:
        """Handle a balancer's request or another sidecar's reply."""
        if isinstance(message, LookupRequest):
            self._start_lookup(now, message, sender)
        else:
            self._on_reply(now, message, sender)

    def _start_lookup(
        self,
        now: float,
        message: LookupRequest,
        balancer: SocketAddress,
    ) -> None:
        try:
            packet = self.codec.from_client(message.raw)
        except WireError as exc:
            self.callbacks.on_malformed(exc)
            return
        candidates = find_candidates(
            self.view, packet.key, self.callbacks.sidecar_address
        )
        if not candidates.count:
            lookup = PendingLookup(candidates, now, [packet])
            self._send_result(lookup, {balancer}, LookupOutcome.UNANSWERED)
            return
        self._requesters.setdefault(packet.key, set()).add(balancer)
        self.lookups.start(now, packet, candidates)

    def _on_reply(
        self,
        now: float,
        message: FlowReply,
        sender: SocketAddress,
    ) -> None:
        lookup = self.lookups.pending.get(message.key)
        if lookup is None:
            return
        if message.status in {FlowStatus.OWNED, FlowStatus.ACCEPTED}:
            self.lookups.on_owned(message.key, sender)
            self._finish(lookup, LookupOutcome.OWNED, sender[0])
        elif message.status is FlowStatus.UNSURE:
            self.lookups.on_unsure(now, message.key, sender)
        elif message.status is FlowStatus.NOT_OWNED:
            self.lookups.on_not_owned(now, message.key, sender)

    def tick(self, now: float) -> None:
        """Continue or end the lookups that lack a reply."""
        self.lookups.tick(now)

    def has_waiting(self) -> bool:
        """Return whether a lookup is in progress."""
        return bool(self.lookups.pending)

    def _on_denied(self, _now: float, lookup: PendingLookup) -> None:
        self._finish(lookup, LookupOutcome.DENIED)

    def _on_unanswered(self, lookup: PendingLookup) -> None:
        self._finish(lookup, LookupOutcome.UNANSWERED)

    def _finish(
        self,
        lookup: PendingLookup,
        outcome: LookupOutcome,
        owner: str = '',
    ) -> None:
        balancers = self._requesters.pop(lookup.packets[0].key, set())
        self._send_result(lookup, balancers, outcome, owner)

    def _send_result(
        self,
        lookup: PendingLookup,
        balancers: set[SocketAddress],
        outcome: LookupOutcome,
        owner: str = '',
    ) -> None:
        # A sidecar that joined the view during the lookup was not queried and
        # may own the flow.
        all_queried = lookup.queried >= sidecar_addresses(
            self.view, self.callbacks.sidecar_address
        )
        if outcome is LookupOutcome.DENIED and not all_queried:
            outcome = LookupOutcome.UNANSWERED
        result = LookupResult(
            key=lookup.packets[0].key,
            outcome=outcome,
            owner=owner,
            queried=len(lookup.queried),
            answered=len(lookup.answered),
            digest=self.view.checksum,
            version=self.view.routes.version,
        )
        for balancer in balancers:
            self.callbacks.send(result.encode(), balancer)
