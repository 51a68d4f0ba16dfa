"""Dragonflyshift, a layer-4 load balancer.

A flow stays with its backend server when balancers or endpoints change.
"""

from dragonflyshift._internal.exceptions import DragonflyshiftError

__all__ = ('DragonflyshiftError', '__version__')

__version__ = '0.1.0'
