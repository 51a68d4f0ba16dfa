"""The sidecar's part in carried flows: own them, admit them, return them."""

from dragonflyshift._internal.carried.sidecar.flow_handler import FlowHandler

__all__ = ('FlowHandler',)
