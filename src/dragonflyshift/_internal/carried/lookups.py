"""Finding the sidecar that holds a flow which this balancer doesn't know.

The packets wait while all sidecars of the service are asked. The owner
answers; a sidecar that has just restarted may not know its server's flows
and says so: it gets the packets as a question to its server, unless another
sidecar claims the flow. When all deny it, the view is confirmed once more: if
it lists nobody else, the flow's server has ended.
"""

__all__ = ('Lookup', 'LookupPorts', 'OwnerLookups')

import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.messages import Ask, Carry
from dragonflyshift._internal.carried.packet import FlowKey, Packet, Pair

logger = logging.getLogger(__name__)

# Time for the answers: the round trip and a turn on a busy processor.
ANSWER_TIMEOUT_S = 0.03
# Without an owner the look-up ends; the sender repeats the packet.
LOOKUP_LIFETIME_S = 0.3
# Time for a reader of the store to tell of an endpoint that is missing here.
CONFIRM_S = 0.05
MAX_LOOKUPS = 2048
MAX_HELD_PACKETS = 16


@define(eq=False, repr=False)
class Lookup:
    """Packets that wait for their flow's owner."""

    service: str
    started_at: float
    asked: set[Pair]
    packets: list[Packet] = field(factory=list)
    unsure: set[Pair] = field(factory=set)
    answered: set[Pair] = field(factory=set)
    is_questioned: bool = field(default=False)
    denied_at: float | None = field(default=None)


@define(eq=False, repr=False)
class LookupPorts:
    """How look-ups send, and who hears of flows without an owner.

    ``confirm_view()`` has the readers tell what they hold; ``denied(lookup)``
    is called when all sidecars have denied the flow and the view had time to
    be confirmed, ``unanswered(lookup)`` when some did not answer.
    """

    send: Callable[[bytes, Pair], None]
    confirm_view: Callable[[], None]
    denied: Callable[[float, Lookup], None]
    unanswered: Callable[[Lookup], None]


@define(eq=False, repr=False)
class OwnerLookups:
    """The look-ups under way, by flow."""

    ports: LookupPorts
    lookups: dict[FlowKey, Lookup] = field(factory=dict)
    started: int = field(default=0)
    dropped: int = field(default=0)

    def start(
        self,
        now: float,
        packet: Packet,
        service: str,
        sidecars: set[Pair],
    ) -> None:
        """Hold a packet and ask all sidecars whose flow it is."""
        lookup = self.lookups.get(packet.key)
        if lookup is not None:
            self._hold(lookup, packet)
            return
        if len(self.lookups) >= MAX_LOOKUPS:
            self.dropped += 1
            return
        lookup = Lookup(service, now, sidecars, [packet])
        self.lookups[packet.key] = lookup
        self.started += 1
        question = Ask(service, packet.key, packet.acknowledged).encode()
        for pair in sorted(sidecars):
            self.ports.send(question, pair)

    def owned(self, key: FlowKey, pair: Pair) -> None:
        """Send the held packets to the owner."""
        lookup = self.lookups.pop(key, None)
        if lookup is None:
            return
        if lookup.is_questioned and pair in lookup.unsure:
            return
        for packet in lookup.packets:
            self.ports.send(Carry(lookup.service, packet.raw).encode(), pair)

    def not_owned(self, now: float, key: FlowKey, pair: Pair) -> None:
        """Take note that a sidecar doesn't hold the flow."""
        lookup = self.lookups.get(key)
        if lookup is not None:
            lookup.unsure.discard(pair)
            lookup.answered.add(pair)
            self._check(now, lookup)

    def unsure(self, now: float, key: FlowKey, pair: Pair) -> None:
        """Take note that a sidecar may hold the flow."""
        lookup = self.lookups.get(key)
        if lookup is not None:
            lookup.unsure.add(pair)
            lookup.answered.add(pair)
            self._check(now, lookup)

    def tick(self, now: float) -> None:
        """Go on where not all answered, and end what is old."""
        for key, lookup in tuple(self.lookups.items()):
            if lookup.denied_at is not None:
                if now - lookup.denied_at > CONFIRM_S:
                    self.lookups.pop(key)
                    self.ports.denied(now, lookup)
            elif now - lookup.started_at > LOOKUP_LIFETIME_S:
                self.lookups.pop(key)
                self.ports.unanswered(lookup)
            elif now - lookup.started_at > ANSWER_TIMEOUT_S:
                self._question(lookup)

    def _check(self, now: float, lookup: Lookup) -> None:
        if not lookup.answered >= lookup.asked:
            return
        if lookup.unsure:
            self._question(lookup)
        elif lookup.denied_at is None:
            lookup.denied_at = now
            self.ports.confirm_view()

    def _question(self, lookup: Lookup) -> None:
        """Have those who are unsure ask their servers, once."""
        if lookup.is_questioned or not lookup.unsure:
            return
        lookup.is_questioned = True
        for packet in lookup.packets:
            datagram = Carry(lookup.service, packet.raw).encode()
            for pair in sorted(lookup.unsure):
                self.ports.send(datagram, pair)

    def _hold(self, lookup: Lookup, packet: Packet) -> None:
        if len(lookup.packets) >= MAX_HELD_PACKETS:
            self.dropped += 1
            return
        lookup.packets.append(packet)
        if lookup.is_questioned:
            datagram = Carry(lookup.service, packet.raw).encode()
            for pair in sorted(lookup.unsure):
                self.ports.send(datagram, pair)
