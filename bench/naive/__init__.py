"""The naive baseline: plug-ins for the same bases, each the obvious way.

Load them with ``--plugin-modules bench.naive`` and choose them by name.
"""

from bench.naive.keyed import RunAgain
from bench.naive.limits import Unbounded
from bench.naive.retries import AnyError
from bench.naive.routing import Always, Modulo, NoPeers
from bench.naive.steering import FlowTable

__all__ = (
    'NAIVE_FLAGS',
    'Always',
    'AnyError',
    'FlowTable',
    'Modulo',
    'NoPeers',
    'RunAgain',
    'Unbounded',
)

NAIVE_FLAGS = (
    '--plugin-modules=bench.naive',
    '--steering=flow-table',
    '--candidate-choice=modulo',
    '--flow-decision=always',
    '--peer-choice=none',
    '--admission=unbounded',
    '--retry-policy=any-error',
    '--keyed-requests=run-again',
)
