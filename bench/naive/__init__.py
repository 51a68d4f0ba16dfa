"""Baseline plug-ins that solve each task in the simplest way.

Differential tests and the bench compare the default plug-ins with them.

Load them with ``--plugin-modules bench.naive`` and choose them by name.
"""

from bench.naive.keyed import RunEveryRequest
from bench.naive.limits import UnboundedQueue
from bench.naive.retries import RetryAnyError
from bench.naive.routing import AlwaysAccept, ModuloHashing, NoPeers
from bench.naive.steering import FlowTableSteering

__all__ = (
    'NAIVE_FLAGS',
    'AlwaysAccept',
    'FlowTableSteering',
    'ModuloHashing',
    'NoPeers',
    'RetryAnyError',
    'RunEveryRequest',
    'UnboundedQueue',
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
