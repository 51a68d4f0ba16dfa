"""Logs how a balancer placed flows that took long to place.

A line answers why a request was slow before it reached its server: which
servers had offers, which were next in order, what the balancer expected of
them and how old that information was, and what became of each offer. It is
imported with the first such flow, to keep the start of a balancer short.
"""

__all__ = ('PlacementLog',)

import logging
from collections.abc import Sequence
from typing import Any

from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey, flow_name
from dragonflyshift._internal.carried.policies.offers import OfferTrace
from dragonflyshift._internal.carried.policies.placement import PlacementOption

logger = logging.getLogger(__name__)

# After an outage all flows are slow to place, and a line takes longer than a
# placement.
MAX_LINES_PER_S = 10
MS_PER_S = 1000


@define(eq=False, repr=False)
class PlacementLog:
    """Writes at most ten lines a second; the next line counts the others."""

    _second: int = field(default=-1)
    _lines: int = field(default=0)
    _omitted: int = field(default=0)

    def record(
        self,
        now: float,
        key: FlowKey,
        received_at: float,
        offers: Sequence[OfferTrace],
        result: str,
    ) -> None:
        """Log the placement of a flow that was received at ``received_at``.

        ``result`` is ``accepted`` or the reason why the flow was refused.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        if self._lines >= MAX_LINES_PER_S:
            self._omitted += 1
            return
        self._lines += 1
        logger.info(
            'placement-slow',
            extra={
                'flow': flow_name(key),
                'result': result,
                'took_ms': int((now - received_at) * MS_PER_S),
                'offers': [_describe(each, received_at) for each in offers],
                'unlogged': self._omitted,
            },
        )
        self._omitted = 0


def _describe(trace: OfferTrace, received_at: float) -> dict[str, Any]:
    chosen = trace.offer.option
    others = [option for option in trace.first if option is not chosen]
    return {
        'after_ms': int((trace.offered_at - received_at) * MS_PER_S),
        'outcome': trace.outcome,
        'may_queue': trace.offer.may_queue,
        'considered': trace.considered,
        **_describe_option(chosen),
        'next': [_describe_option(option) for option in others],
    }


def _describe_option(option: PlacementOption) -> dict[str, Any]:
    load = option.load
    return {
        'sidecar': option.sidecar[0],
        'requests': round(option.unfinished, 1),
        'report_age_ms': None if load is None else int(option.age_ms),
        'is_local': option.is_local,
        'is_suspect': option.is_suspect,
        'is_suspicious': option.is_suspicious,
    }
