"""The balancer role: steer, wrap and unwrap datagrams."""

from dragonflyshift._internal.balancer.by_connection_id import (
    ConnectionIdSteering,
)
from dragonflyshift._internal.balancer.role import BalancerRole
from dragonflyshift._internal.balancer.steering import (
    Decision,
    Steering,
    SteeringContext,
    Verdict,
)

__all__ = (
    'BalancerRole',
    'ConnectionIdSteering',
    'Decision',
    'Steering',
    'SteeringContext',
    'Verdict',
)
