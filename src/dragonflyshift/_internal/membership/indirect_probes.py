"""Probes that a member sends on behalf of others."""

from collections import OrderedDict

from attrs import frozen

from dragonflyshift._internal.membership.messages import (
    Ack,
    IndirectProbeRequest,
)
from dragonflyshift._internal.models import Address

MAX_INDIRECT_PROBES = 256


@frozen
class IndirectProbe:
    """A probe of ``target`` on behalf of ``requester``.

    ``sequence`` is the sequence number of the request.
    """

    requester: Address
    sequence: int
    target: Address


class IndirectProbes:
    """Indirect probes without an acknowledgement; the oldest are evicted."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._probes: OrderedDict[int, IndirectProbe] = OrderedDict()

    def add(self, request: IndirectProbeRequest, sequence: int) -> None:
        """Add the probe with number ``sequence`` that serves a request."""
        self._probes[sequence] = IndirectProbe(
            request.header.sender.address,
            request.header.sequence,
            request.target,
        )
        if len(self._probes) > MAX_INDIRECT_PROBES:
            self._probes.popitem(last=False)

    def pop(self, ack: Ack) -> IndirectProbe | None:
        """Remove and return the probe that ``ack`` acknowledges, if any."""
        probe = self._probes.get(ack.header.sequence)
        if probe is None or probe.target != ack.header.sender.address:
            return None
        return self._probes.pop(ack.header.sequence)
