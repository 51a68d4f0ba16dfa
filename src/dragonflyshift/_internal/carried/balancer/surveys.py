"""Look-ups in large services, which a sidecar makes for the balancer.

Asking 50 sidecars takes a thin balancer's processor and link longer than the
flow can wait; after the loss of everything each open flow needs it. So one
sidecar asks the others, hands the packet to the owner and tells the end. The
next repetition of the packet goes to another one if it stays silent.
"""

__all__ = ('SurveyBook', 'SurveyPorts')

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
FINDINGS_TIMEOUT_S = 0.4
MAX_SURVEYS = 4096


@define(eq=False, repr=False)
class _Pending:
    """A flow whose owner is being looked for, with the packets that came."""

    service: str
    surveyor: SocketAddress
    started_at: float
    packets: list[Packet]


@define(eq=False, repr=False)
class SurveyPorts:
    """How surveys send, and who hears of their ends.

    ``owned(now, key, pair)`` names the owner; ``denied(now, packets,
    findings)`` says that no sidecar of the view in ``findings`` has the flow;
    ``silent(now, pair)`` that a sidecar told no end.
    """

    send: Callable[[bytes, SocketAddress], None]
    owned: Callable[[float, FlowKey, SocketAddress], None]
    denied: Callable[[float, list[Packet], LookupResult], None]
    unanswered: Callable[[LookupResult], None]
    silent: Callable[[float, SocketAddress], None]


@define(eq=False, repr=False)
class SurveyBook:
    """The surveys that have no end yet."""

    ports: SurveyPorts
    pending: dict[FlowKey, _Pending] = field(factory=dict)

    def start(
        self,
        now: float,
        packet: Packet,
        service: str,
        surveyor: SocketAddress,
    ) -> None:
        """Have a sidecar find the owner, or hold a packet until it has."""
        known = self.pending.get(packet.key)
        if known is not None:
            if len(known.packets) < MAX_HELD_PACKETS:
                known.packets.append(packet)
            return
        if len(self.pending) >= MAX_SURVEYS:
            return
        self.pending[packet.key] = _Pending(service, surveyor, now, [packet])
        self.ports.send(LookupRequest(service, packet.raw).encode(), surveyor)

    def ended(
        self, now: float, findings: LookupResult, source: SocketAddress
    ) -> None:
        """Act on what a sidecar found."""
        known = self.pending.get(findings.key)
        if known is None or known.surveyor != source:
            return
        self.pending.pop(findings.key)
        if findings.outcome is LookupOutcome.OWNED:
            owner = (findings.owner, source[1])
            self.ports.owned(now, findings.key, owner)
            # The first packet is there already.
            for packet in known.packets[1:]:
                datagram = ForwardedPacket(known.service, packet.raw).encode()
                self.ports.send(datagram, owner)
        elif findings.outcome is LookupOutcome.DENIED:
            self.ports.denied(now, known.packets, findings)
        else:
            self.ports.unanswered(findings)

    def tick(self, now: float) -> None:
        """Give up surveys whose end was not told."""
        for key, known in tuple(self.pending.items()):
            if now - known.started_at > FINDINGS_TIMEOUT_S:
                self.pending.pop(key)
                self.ports.silent(now, known.surveyor)
