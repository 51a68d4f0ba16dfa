"""The balancer's part in carried flows: place openings, find owners."""

from dragonflyshift._internal.carried.balancer.carrier import (
    CarrierPorts,
    FlowCarrier,
)

__all__ = ('CarrierPorts', 'FlowCarrier')
