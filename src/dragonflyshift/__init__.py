"""Dragonflyshift, a layer-4 load balancer that keeps every flow whole."""

from dragonflyshift._internal.exceptions import DragonflyshiftError

__all__ = ('DragonflyshiftError', '__version__')

__version__ = '0.1.0'
