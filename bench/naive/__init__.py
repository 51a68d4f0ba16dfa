"""The naive baseline: plug-ins for the same bases, each the obvious way.

Load them with ``--plugin-modules bench.naive`` and choose them by name.
"""

from bench.naive.limits import Unbounded
from bench.naive.retries import AnyError
from bench.naive.routing import Always, Modulo, NoPeers

__all__ = ('Always', 'AnyError', 'Modulo', 'NoPeers', 'Unbounded')
