"""The balancer's part in carried flows: place openings, find owners."""

from dragonflyshift._internal.carried.balancer.forwarder import (
    FlowForwarder,
    ForwarderPorts,
)

__all__ = ('FlowForwarder', 'ForwarderPorts')
