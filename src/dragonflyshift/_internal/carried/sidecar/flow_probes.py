"""Flow probes for packets of unknown flows.

After a restart of the sidecar, the server may hold flows from before it. A
packet of an unknown flow is then delivered to the server as a flow probe. If
the server answers it, the sidecar adopts the flow; otherwise the server
bounces the packet.
"""

__all__ = ('FlowProbe', 'FlowProbes')

from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress

# Hop mark of a packet that is delivered as a flow probe.
PROBE_MARK = 1
MAX_PROBES = 4096
# A server that holds the flow acknowledges the packet within this time.
PROBE_LIFETIME_S = 1.0


@define(eq=False, repr=False)
class FlowProbe:
    """A probe in progress, with the balancer that sent the packet."""

    balancer: SocketAddress
    sent_at: float


@define(eq=False, repr=False)
class FlowProbes:
    """The flow probes that the server has not answered yet."""

    _pending: dict[FlowKey, FlowProbe] = field(factory=dict)

    def add(self, now: float, key: FlowKey, balancer: SocketAddress) -> None:
        """Record that a packet is delivered as a flow probe.

        Nothing is recorded while ``MAX_PROBES`` are pending.
        """
        if len(self._pending) < MAX_PROBES:
            self._pending[key] = FlowProbe(balancer, now)

    def pop(self, key: FlowKey) -> FlowProbe | None:
        """Remove and return the probe of a flow, or return None."""
        return self._pending.pop(key, None)

    def sweep(self, now: float) -> None:
        """Remove probes whose lifetime has passed without an answer."""
        for key, probe in tuple(self._pending.items()):
            if now - probe.sent_at > PROBE_LIFETIME_S:
                self._pending.pop(key)
