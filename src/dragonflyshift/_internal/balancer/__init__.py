"""The balancer role: forwards packets between clients and sidecars."""

from dragonflyshift._internal.balancer.by_connection_id import (
    ConnectionIdSteering,
)
from dragonflyshift._internal.balancer.role import BalancerRole
from dragonflyshift._internal.balancer.steering import (
    Steering,
    SteeringContext,
    SteeringDecision,
    SteeringResult,
)

__all__ = (
    'BalancerRole',
    'ConnectionIdSteering',
    'Steering',
    'SteeringContext',
    'SteeringDecision',
    'SteeringResult',
)
