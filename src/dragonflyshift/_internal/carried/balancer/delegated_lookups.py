"""Owner lookups in large services, delegated to a sidecar.

Querying 50 sidecars takes a balancer with a small share of a core and of a
link longer than a flow can wait, and after a loss of all machines every open
flow needs a lookup. Therefore one sidecar queries the others, forwards the
packet to the owner and reports the result. If it doesn't report in time, the
next retransmission of the packet goes to another sidecar.
"""

__all__ = ('DelegatedLookupCallbacks', 'DelegatedLookups')

from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.lookups import MAX_HELD_PACKETS
from dragonflyshift._internal.carried.messages import (
    ForwardedPacket,
    LookupOutcome,
    LookupRequest,
    LookupResult,
)
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    Packet,
    SocketAddress,
)

# The lifetime of the lookup at the sidecar plus the round trip.
RESULT_TIMEOUT_S = 0.4
MAX_DELEGATED_LOOKUPS = 4096


@define(eq=False, repr=False)
class _DelegatedLookup:
    """A flow whose owner a sidecar looks up, with the packets received.

    ``delegate`` is the address of that sidecar.
    """

    service: str
    delegate: SocketAddress
    started_at: float
    packets: list[Packet]


@define(eq=False, repr=False)
class DelegatedLookupCallbacks:
    """Functions that delegated lookups call to send and to report results.

    ``owned(now, key, sidecar)`` reports the owner. ``denied(now, packets,
    result)`` reports that no sidecar of the view named in ``result`` owns the
    flow, ``unanswered(result)`` that it may have missed the owner.
    ``timed_out(now, sidecar)`` reports a delegate that sent no result.
    """

    send: Callable[[bytes, SocketAddress], None]
    owned: Callable[[float, FlowKey, SocketAddress], None]
    denied: Callable[[float, list[Packet], LookupResult], None]
    unanswered: Callable[[LookupResult], None]
    timed_out: Callable[[float, SocketAddress], None]


@define(eq=False, repr=False)
class DelegatedLookups:
    """The delegated lookups that are pending, by flow."""

    callbacks: DelegatedLookupCallbacks
    pending: dict[FlowKey, _DelegatedLookup] = field(factory=dict)

    def start(
        self,
        now: float,
        packet: Packet,
        service: str,
        delegate: SocketAddress,
    ) -> None:
        """Request a lookup, or hold the packet if one is pending."""
        lookup = self.pending.get(packet.key)
        if lookup is not None:
            if len(lookup.packets) < MAX_HELD_PACKETS:
                lookup.packets.append(packet)
            return
        if len(self.pending) >= MAX_DELEGATED_LOOKUPS:
            return
        self.pending[packet.key] = _DelegatedLookup(
            service, delegate, now, [packet]
        )
        self.callbacks.send(
            LookupRequest(service, packet.raw).encode(), delegate
        )

    def on_result(
        self, now: float, result: LookupResult, sender: SocketAddress
    ) -> None:
        """Process a result, but ignore one that isn't from the delegate."""
        lookup = self.pending.get(result.key)
        if lookup is None or lookup.delegate != sender:
            return
        self.pending.pop(result.key)
        if result.outcome is LookupOutcome.OWNED:
            owner = (result.owner, sender[1])
            self.callbacks.owned(now, result.key, owner)
            # The delegate has forwarded the first of the held packets.
            for packet in lookup.packets[1:]:
                datagram = ForwardedPacket(lookup.service, packet.raw).encode()
                self.callbacks.send(datagram, owner)
        elif result.outcome is LookupOutcome.DENIED:
            self.callbacks.denied(now, lookup.packets, result)
        else:
            self.callbacks.unanswered(result)

    def tick(self, now: float) -> None:
        """Remove the lookups whose results are overdue."""
        for key, lookup in tuple(self.pending.items()):
            if now - lookup.started_at > RESULT_TIMEOUT_S:
                self.pending.pop(key)
                self.callbacks.timed_out(now, lookup.delegate)
