"""The sidecar role: end flows, admit and run requests."""

from dragonflyshift._internal.sidecar.keyed import HomeKeyed
from dragonflyshift._internal.sidecar.role import SidecarRole

__all__ = ('HomeKeyed', 'SidecarRole')
