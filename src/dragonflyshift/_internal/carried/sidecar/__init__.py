"""Sidecar side of the carried path: flow ownership and admission."""

from dragonflyshift._internal.carried.sidecar.flow_handler import FlowHandler

__all__ = ('FlowHandler',)
