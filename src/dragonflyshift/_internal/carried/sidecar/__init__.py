"""The sidecar's part in carried flows: own them, admit them, return them."""

from dragonflyshift._internal.carried.sidecar.host import FlowHost

__all__ = ('FlowHost',)
