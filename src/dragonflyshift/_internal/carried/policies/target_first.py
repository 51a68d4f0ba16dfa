"""Admission policy that queues new flows until their clients give up.

It suits services for which a late response is worth nearly as much as one in
time, when many clients reconnect after an outage. No flow is refused that can
still be served, and flows that can meet their latency target start first.
"""

__all__ = ('TargetFirst',)

import enum

from dragonflyshift._internal.carried.policies.admission import (
    MAX_START_AGE_MS,
    OVERCOMMIT,
    AdmissionDecision,
    InTimeOnly,
    NewFlow,
)

# How many mean service times must remain before the latency target for a flow
# to be likely to meet it; service times vary by about half of their mean.
SAFE_TARGET_MARGIN = 2.0
# A flow with a smaller share of a mean service time left can't meet its
# target any more.
MIN_TARGET_MARGIN = 0.5


class _Likelihood(enum.IntEnum):
    """How likely a flow is to meet its latency target."""

    HIGH = 0
    LOW = 1
    NONE = 2


class TargetFirst(InTimeOnly, name='target-first'):
    """Starts flows in the order of their likelihood to meet their targets."""

    def decide(
        self,
        now: float,
        flow: NewFlow,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> AdmissionDecision:
        """Decide on a new flow and queue it if the decision is to wait."""
        is_idle = not self._waiting and busy < slots
        if is_idle:
            return AdmissionDecision.START
        if not flow.is_last:
            # Another server may be idle, and offering the flow to it takes
            # only a round trip.
            return AdmissionDecision.REFUSE
        if not self._waiting and busy < slots + OVERCOMMIT:
            return AdmissionDecision.START
        ahead = busy + self._count_ahead(now, flow, service_ms) + 1 - slots
        wait_ms = max(0, ahead) * service_ms / max(1, slots)
        total_ms = flow.age_ms(now) + wait_ms
        if total_ms > self._max_age_ms(flow, service_ms):
            return AdmissionDecision.REFUSE
        self._waiting[flow.key] = flow
        return AdmissionDecision.WAIT

    def next_ready(
        self,
        now: float,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> NewFlow | None:
        """Remove and return the next flow to start if a slot is free."""
        if not self._waiting or busy >= slots + OVERCOMMIT:
            return None
        chosen = min(
            self._waiting.values(),
            key=lambda flow: _rank(now, flow, service_ms),
        )
        return self._waiting.pop(chosen.key)

    def expire(self, now: float, service_ms: float) -> list[NewFlow]:
        """Remove and return the flows whose clients are about to give up."""
        expired = [
            flow
            for flow in self._waiting.values()
            if flow.age_ms(now) > self._max_age_ms(flow, service_ms)
        ]
        for flow in expired:
            self.discard(flow.key)
        return expired

    def _count_ahead(
        self,
        now: float,
        flow: NewFlow,
        service_ms: float,
    ) -> int:
        """Count the waiting flows that start before a new flow."""
        rank = _rank(now, flow, service_ms)
        return sum(
            _rank(now, other, service_ms) <= rank
            for other in self._waiting.values()
        )

    def _max_age_ms(self, flow: NewFlow, service_ms: float) -> float:
        return min(MAX_START_AGE_MS, flow.timeout_ms - service_ms)


def _rank(
    now: float,
    flow: NewFlow,
    service_ms: float,
) -> tuple[_Likelihood, int, float]:
    """Return the sort key of a waiting flow; the lowest one starts first.

    Flows are ordered by likelihood, then by priority, then by age. Among
    flows of low likelihood the youngest comes first, as it has the most time
    left; in the other groups the oldest does.
    """
    age_ms = flow.age_ms(now)
    left_ms = flow.target_ms - age_ms
    if left_ms >= SAFE_TARGET_MARGIN * service_ms:
        return (_Likelihood.HIGH, flow.priority, -age_ms)
    if left_ms >= MIN_TARGET_MARGIN * service_ms:
        return (_Likelihood.LOW, flow.priority, age_ms)
    return (_Likelihood.NONE, flow.priority, -age_ms)
