"""The sidecar role: terminates flows, admits and runs requests."""

from dragonflyshift._internal.sidecar.keyed import KeyOwnerRouting
from dragonflyshift._internal.sidecar.role import SidecarRole

__all__ = ('KeyOwnerRouting', 'SidecarRole')
