"""Look-ups in large services, which a sidecar makes for the balancer.

Asking 50 sidecars takes a thin balancer's processor and link longer than the
flow can wait; after the loss of everything each open flow needs it. So one
sidecar asks the others, hands the packet to the owner and tells the end. The
next repetition of the packet goes to another one if it stays silent.
"""

__all__ = ('DelegatedLookupPorts', 'DelegatedLookups')

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

# The look-up's own lifetime at the sidecar, and the way there and back.
RESULT_TIMEOUT_S = 0.4
MAX_DELEGATED_LOOKUPS = 4096


@define(eq=False, repr=False)
class _DelegatedLookup:
    """A flow whose owner is being looked for, with the packets that came."""

    service: str
    delegate: SocketAddress
    started_at: float
    packets: list[Packet]


@define(eq=False, repr=False)
class DelegatedLookupPorts:
    """How surveys send, and who hears of their ends.

    ``owned(now, key, pair)`` names the owner; ``denied(now, packets,
    findings)`` says that no sidecar of the view in ``findings`` has the flow;
    ``silent(now, pair)`` that a sidecar told no end.
    """

    send: Callable[[bytes, SocketAddress], None]
    owned: Callable[[float, FlowKey, SocketAddress], None]
    denied: Callable[[float, list[Packet], LookupResult], None]
    unanswered: Callable[[LookupResult], None]
    timed_out: Callable[[float, SocketAddress], None]


@define(eq=False, repr=False)
class DelegatedLookups:
    """The surveys that have no end yet."""

    ports: DelegatedLookupPorts
    pending: dict[FlowKey, _DelegatedLookup] = field(factory=dict)

    def start(
        self,
        now: float,
        packet: Packet,
        service: str,
        delegate: SocketAddress,
    ) -> None:
        """Have a sidecar find the owner, or hold a packet until it has."""
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
        self.ports.send(LookupRequest(service, packet.raw).encode(), delegate)

    def on_result(
        self, now: float, result: LookupResult, sender: SocketAddress
    ) -> None:
        """Act on what a sidecar found."""
        lookup = self.pending.get(result.key)
        if lookup is None or lookup.delegate != sender:
            return
        self.pending.pop(result.key)
        if result.outcome is LookupOutcome.OWNED:
            owner = (result.owner, sender[1])
            self.ports.owned(now, result.key, owner)
            # The first packet is there already.
            for packet in lookup.packets[1:]:
                datagram = ForwardedPacket(lookup.service, packet.raw).encode()
                self.ports.send(datagram, owner)
        elif result.outcome is LookupOutcome.DENIED:
            self.ports.denied(now, lookup.packets, result)
        else:
            self.ports.unanswered(result)

    def tick(self, now: float) -> None:
        """Give up surveys whose end was not told."""
        for key, lookup in tuple(self.pending.items()):
            if now - lookup.started_at > RESULT_TIMEOUT_S:
                self.pending.pop(key)
                self.ports.timed_out(now, lookup.delegate)
