"""Admission policy that queues new flows until their clients give up.

It is for the load after an outage: many clients connect at once to servers
that are cold, and few flows can still meet their latency target. A client that
is refused tries again at once and uses up its retries within some 30 ms, long
before a slot is free. Therefore no flow is refused that can still be served.
Flows that can meet their target start first, so late ones delay them only by
the requests that already run.
"""

__all__ = ('TargetFirst',)

import enum
import math

from dragonflyshift._internal.carried.policies.admission import (
    MAX_START_AGE_MS,
    NewFlow,
    QueuedAdmission,
)

# How many mean service times must remain before the latency target for a flow
# to be likely to meet it; service times vary by about half of their mean.
SAFE_TARGET_MARGIN = 2.0
# A flow with a smaller share of a mean service time left can't meet its
# target any more.
MIN_TARGET_MARGIN = 0.5
# The share of the late flows that is reported as backlog. A new flow starts
# before them, so a balancer must not avoid a server for them; but of servers
# with equal queues the one with fewer late flows is preferred.
LATE_BACKLOG_SHARE = 0.1


class _Likelihood(enum.IntEnum):
    """How likely a flow is to meet its latency target."""

    HIGH = 0
    LOW = 1
    NONE = 2


class TargetFirst(QueuedAdmission, name='target-first'):
    """Starts flows in the order of their likelihood to meet their targets."""

    def backlog(self, now: float, service_ms: float) -> int:
        """Return the number of waiting flows to report to balancers.

        Late flows count by a small share, rounded up.
        """
        late = sum(
            _likelihood(flow, flow.age_ms(now), service_ms) is _Likelihood.NONE
            for flow in self._waiting.values()
        )
        return self.waiting - late + math.ceil(late * LATE_BACKLOG_SHARE)

    def rank(
        self, now: float, flow: NewFlow, service_ms: float
    ) -> tuple[int, int, float]:
        """Return the sort key of a waiting flow; the lowest starts first.

        Flows are ordered by likelihood, then by priority, then by age. Among
        flows of low likelihood the youngest comes first, as it has the most
        time left; in the other groups the oldest does.
        """
        age_ms = flow.age_ms(now)
        likelihood = _likelihood(flow, age_ms, service_ms)
        if likelihood is _Likelihood.LOW:
            return (likelihood, flow.priority, age_ms)
        return (likelihood, flow.priority, -age_ms)

    def count_ahead(self, now: float, flow: NewFlow, service_ms: float) -> int:
        """Return how many waiting flows start before a new one."""
        rank = self.rank(now, flow, service_ms)
        return sum(
            self.rank(now, other, service_ms) <= rank
            for other in self._waiting.values()
        )

    def latest_planned_start_ms(
        self, flow: NewFlow, service_ms: float
    ) -> float:
        """Return the maximum predicted age at the start of a queued flow."""
        return self.expiry_ms(flow, service_ms)

    def expiry_ms(self, flow: NewFlow, service_ms: float) -> float:
        """Return the age at which the client is about to give up."""
        return min(MAX_START_AGE_MS, flow.timeout_ms - service_ms)


def _likelihood(flow: NewFlow, age_ms: float, service_ms: float) -> _Likelihood:
    left_ms = flow.target_ms - age_ms
    if left_ms >= SAFE_TARGET_MARGIN * service_ms:
        return _Likelihood.HIGH
    if left_ms >= MIN_TARGET_MARGIN * service_ms:
        return _Likelihood.LOW
    return _Likelihood.NONE
