"""The balancer of carried flows: new flows, owner lookups, forwarding."""

from dragonflyshift._internal.carried.balancer.forwarder import (
    FlowForwarder,
    ForwarderCallbacks,
)

__all__ = ('FlowForwarder', 'ForwarderCallbacks')
