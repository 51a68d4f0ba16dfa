"""Packets of flows that this sidecar doesn't know.

After a restart the server may hold flows of the time before. A packet of an
unknown flow is then delivered as a question: the server answers it, and the
flow is adopted, or bounces it.
"""

__all__ = ('FlowProbe', 'FlowProbes')

from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress

# Marks a packet that is delivered to learn whether the server holds its flow.
PROBE_MARK = 1
MAX_PROBES = 4096
# A server that holds the flow acknowledges within this time.
PROBE_LIFETIME_S = 1.0


@define(eq=False, repr=False)
class FlowProbe:
    """A flow that the server was asked about, and for whom."""

    balancer: SocketAddress
    sent_at: float


@define(eq=False, repr=False)
class FlowProbes:
    """The questions to the server that have no answer yet."""

    _pending: dict[FlowKey, FlowProbe] = field(factory=dict)

    def add(self, now: float, key: FlowKey, balancer: SocketAddress) -> None:
        """Take note that a packet goes to the server as a question."""
        if len(self._pending) < MAX_PROBES:
            self._pending[key] = FlowProbe(balancer, now)

    def pop(self, key: FlowKey) -> FlowProbe | None:
        """Remove and return the question about a flow, if there is one."""
        return self._pending.pop(key, None)

    def sweep(self, now: float) -> None:
        """Drop questions that got no answer."""
        for key, probe in tuple(self._pending.items()):
            if now - probe.sent_at > PROBE_LIFETIME_S:
                self._pending.pop(key)
