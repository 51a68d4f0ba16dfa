"""Flow probes for packets of unknown flows.

After a restart of the sidecar, the server may hold flows from before it. A
packet of an unknown flow is then delivered to the server as a flow probe. If
the server answers it, the sidecar adopts the flow; otherwise the server
bounces the packet. Flows don't move between servers, so no further packet of
a flow that the server bounced is delivered to it.
"""

__all__ = ('FlowProbe', 'FlowProbes')

from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey, SocketAddress

# Hop mark of a packet that is delivered as a flow probe.
PROBE_MARK = 1
MAX_PROBES = 4096
MAX_BOUNCED_FLOWS = 16_384
# A server that holds the flow acknowledges the packet within this time.
PROBE_LIFETIME_S = 1.0


@define(eq=False, repr=False)
class FlowProbe:
    """A probe in progress, with the balancer that sent the packet."""

    balancer: SocketAddress
    sent_at: float


@define(eq=False, repr=False)
class FlowProbes:
    """The flow probes that the server has not answered, and the bounced ones.

    Of the bounced flows the latest ``MAX_BOUNCED_FLOWS`` are kept.
    """

    _pending: dict[FlowKey, FlowProbe] = field(factory=dict)
    _bounced: dict[FlowKey, None] = field(factory=dict)

    def add(self, now: float, key: FlowKey, balancer: SocketAddress) -> None:
        """Record that a packet is delivered as a flow probe.

        Nothing is recorded while ``MAX_PROBES`` are pending.
        """
        if len(self._pending) < MAX_PROBES:
            self._pending[key] = FlowProbe(balancer, now)

    def pop(self, key: FlowKey) -> FlowProbe | None:
        """Remove and return the probe of a flow, or return None."""
        return self._pending.pop(key, None)

    def record_bounce(self, key: FlowKey) -> None:
        """Record that the server doesn't hold a flow."""
        while len(self._bounced) >= MAX_BOUNCED_FLOWS:
            self._bounced.pop(next(iter(self._bounced)))
        self._bounced[key] = None

    def is_bounced(self, key: FlowKey) -> bool:
        """Return whether the server has bounced a probe of a flow."""
        return key in self._bounced

    def forget_bounced(self, key: FlowKey | None = None) -> None:
        """Forget that a flow was bounced, or all of them."""
        if key is None:
            self._bounced.clear()
        else:
            self._bounced.pop(key, None)

    def sweep(self, now: float) -> None:
        """Remove probes whose lifetime has passed without an answer."""
        for key, probe in tuple(self._pending.items()):
            if now - probe.sent_at > PROBE_LIFETIME_S:
                self._pending.pop(key)
