"""A balancer's judgement of endpoints from its own traffic.

The platform's list lags and members' words take a moment to spread; packets
that stay without an answer tell at once. The judgement is local and never
sent to anybody.
"""

import random
from collections import OrderedDict

from attrs import define

from dragonflyshift._internal.models import Address

UNANSWERED_FLOWS = 3
UNANSWERED_LIMIT_S = 1.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MAX_ENDPOINTS = 8192
_BACKOFF_FACTOR = 2
_JITTER = 0.25


@define(eq=False)
class _Judgement:
    """What the traffic of one endpoint has shown since it was last heard.

    ``doubted_at`` is when the last of the unanswered flows that are needed
    for a verdict was forwarded; ``retry_at`` is set once the endpoint is
    unreachable, and is when the next new flow may try it.
    """

    unanswered: int = 0
    doubted_at: float | None = None
    retry_at: float | None = None
    backoff: float = FIRST_BACKOFF_S


class EndpointHealth:
    """Judge endpoints by new flows forwarded to them and words heard.

    An endpoint becomes unreachable when it refuses, or when several new
    flows have stayed unanswered for longer than a bound. After a backoff,
    which doubles each time, exactly one new flow may try it. The first word
    heard clears it.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw the jitter of backoffs from ``rng``."""
        self._rng = rng
        self._judgements: OrderedDict[Address, _Judgement] = OrderedDict()

    def forwarded_new(self, address: Address, now: float) -> None:
        """Take note that a new flow was forwarded to an endpoint."""
        judgement = self._judgement(address)
        if self._unreachable(judgement, now):
            self._back_off(judgement, now)
            return
        judgement.unanswered += 1
        if judgement.unanswered == UNANSWERED_FLOWS:
            judgement.doubted_at = now

    def heard(self, address: Address, now: float) -> None:
        """Take note that any datagram came from an endpoint."""
        self._judgements.pop(address, None)

    def refused(self, address: Address, now: float) -> None:
        """Take note that an endpoint's host said that nothing listens."""
        judgement = self._judgement(address)
        if judgement.retry_at is None:
            self._back_off(judgement, now)

    def reachable(self, address: Address, now: float) -> bool:
        """Tell whether a new flow may be forwarded to an endpoint."""
        judgement = self._judgements.get(address)
        if judgement is None or not self._unreachable(judgement, now):
            return True
        return judgement.retry_at is not None and now >= judgement.retry_at

    def reset(self) -> None:
        """Forget all judgements, as is due after a pause."""
        self._judgements.clear()

    def _judgement(self, address: Address) -> _Judgement:
        judgement = self._judgements.setdefault(address, _Judgement())
        self._judgements.move_to_end(address)
        if len(self._judgements) > MAX_ENDPOINTS:
            self._judgements.popitem(last=False)
        return judgement

    def _unreachable(self, judgement: _Judgement, now: float) -> bool:
        if judgement.retry_at is not None:
            return True
        doubted_at = judgement.doubted_at
        if doubted_at is None or now - doubted_at <= UNANSWERED_LIMIT_S:
            return False
        self._back_off(judgement, now)
        return True

    def _back_off(self, judgement: _Judgement, now: float) -> None:
        jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        judgement.retry_at = now + judgement.backoff * jitter
        judgement.backoff = min(
            judgement.backoff * _BACKOFF_FACTOR,
            MAX_BACKOFF_S,
        )
