"""Probes that a member makes on behalf of others."""

from collections import OrderedDict

from attrs import frozen

from dragonflyshift._internal.membership.messages import Ack, ProbeVia
from dragonflyshift._internal.models import Address

MAX_RELAYS = 256


@frozen
class Relay:
    """A probe made for another member, and its sequence number there."""

    requester: Address
    sequence: int
    target: Address


class Relays:
    """Relays that wait for an answer; the oldest give way."""

    def __init__(self) -> None:
        """Start empty."""
        self._relays: OrderedDict[int, Relay] = OrderedDict()

    def add(self, request: ProbeVia, sequence: int) -> None:
        """Note that a request is served by the probe ``sequence``."""
        self._relays[sequence] = Relay(
            request.greeting.sender.address,
            request.greeting.sequence,
            request.target,
        )
        if len(self._relays) > MAX_RELAYS:
            self._relays.popitem(last=False)

    def take(self, ack: Ack) -> Relay | None:
        """Remove and return the relay that an answer belongs to, if any."""
        relay = self._relays.get(ack.greeting.sequence)
        if relay is None or relay.target != ack.greeting.sender.address:
            return None
        return self._relays.pop(ack.greeting.sequence)
