"""Passive health checks of endpoints by the traffic of a balancer.

The endpoint list of the platform is updated late and member records take time
to spread, whereas unanswered packets indicate a failure quickly. The result is
local to the balancer and isn't sent to other processes.
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
class _EndpointStatus:
    """The failures of one endpoint since the last datagram from it.

    ``unanswered`` counts new flows. ``suspect_since`` is the time at which
    the count reached ``UNANSWERED_FLOWS``. ``retry_at`` is set while the
    endpoint is unreachable: the time at which the next new flow may be
    forwarded to it.
    """

    unanswered: int = 0
    suspect_since: float | None = None
    retry_at: float | None = None
    backoff: float = FIRST_BACKOFF_S


class EndpointHealth:
    """The reachability of endpoints.

    An endpoint becomes unreachable if its host reports a closed port, or if
    ``UNANSWERED_FLOWS`` new flows are unanswered for ``UNANSWERED_LIMIT_S``.
    After a backoff, which doubles each time, exactly one new flow may be
    forwarded to it. Any datagram from the endpoint makes it reachable again.
    """

    def __init__(self, rng: random.Random) -> None:
        """Use ``rng`` for the jitter of backoffs."""
        self._rng = rng
        self._statuses: OrderedDict[Address, _EndpointStatus] = OrderedDict()

    def record_new_flow(self, address: Address, now: float) -> None:
        """Record that a new flow was forwarded to an endpoint."""
        status = self._status(address)
        if self._check_unreachable(status, now):
            self._start_backoff(status, now)
            return
        status.unanswered += 1
        if status.unanswered == UNANSWERED_FLOWS:
            status.suspect_since = now

    def record_datagram(self, address: Address, now: float) -> None:
        """Record that a datagram was received from an endpoint."""
        self._statuses.pop(address, None)

    def record_refusal(self, address: Address, now: float) -> None:
        """Record that the host of an endpoint reported a closed port."""
        status = self._status(address)
        if status.retry_at is None:
            self._start_backoff(status, now)

    def is_reachable(self, address: Address, now: float) -> bool:
        """Return whether a new flow may be forwarded to an endpoint."""
        status = self._statuses.get(address)
        if status is None or not self._check_unreachable(status, now):
            return True
        return status.retry_at is not None and now >= status.retry_at

    def reset(self) -> None:
        """Remove all statuses; they are outdated after a pause."""
        self._statuses.clear()

    def _status(self, address: Address) -> _EndpointStatus:
        status = self._statuses.setdefault(address, _EndpointStatus())
        self._statuses.move_to_end(address)
        if len(self._statuses) > MAX_ENDPOINTS:
            self._statuses.popitem(last=False)
        return status

    def _check_unreachable(self, status: _EndpointStatus, now: float) -> bool:
        if status.retry_at is not None:
            return True
        suspect_since = status.suspect_since
        if suspect_since is None or now - suspect_since <= UNANSWERED_LIMIT_S:
            return False
        self._start_backoff(status, now)
        return True

    def _start_backoff(self, status: _EndpointStatus, now: float) -> None:
        jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        status.retry_at = now + status.backoff * jitter
        status.backoff = min(
            status.backoff * _BACKOFF_FACTOR,
            MAX_BACKOFF_S,
        )
