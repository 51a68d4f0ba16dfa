"""Admission policy that divides a server fairly between client accounts.

It suits services with less capacity than demand, where one client opens many
flows. In order of arrival the queue holds mostly flows of that client, and
nearly all flows of the others are refused.

The policy decides like ``in-time-only`` until a flow that may wait can't be
served in time. For some time after that, flows of accounts below their shares
start first. If one of them arrives at a full queue, a waiting flow of the
account with the highest use gives way.
"""

__all__ = ('FairShare',)

import math
from collections.abc import Callable

from attrs import frozen

from dragonflyshift._internal.carried.policies.account_shares import (
    AccountShares,
)
from dragonflyshift._internal.carried.policies.admission import (
    EXPIRY_MARGIN,
    LOWEST_PRIORITY,
    OVERCOMMIT,
    START_MARGINS,
    AdmissionDecision,
    InTimeOnly,
    NewFlow,
    latest_start_ms,
    start_rank,
)

# Weights of the shares by priority; the last entry also applies to all lower
# priorities. A client that fills all priorities leaves the lowest a seventh.
PRIORITY_WEIGHTS = (4.0, 2.0, 1.0)
# Shares stay in force for this time after a flow could not be served in time.
# Waves of demand and the pauses of retrying clients are shorter.
CONTENTION_S = 2.0
HOST_BYTES = 4
MS_PER_S = 1000


@frozen
class _Queue:
    """The speed of a queue.

    ``backlog`` flows must end before the first waiting one starts. One ends
    each ``interval_ms``, and each takes ``service_ms``.
    """

    backlog: int
    interval_ms: float
    service_ms: float

    def is_in_time(
        self, now: float, flow: NewFlow, ahead: int, margin: float
    ) -> bool:
        """Return whether a flow behind ``ahead`` others starts in time.

        ``margin`` service times must remain before its latency target.
        """
        wait_ms = max(0, self.backlog + ahead) * self.interval_ms
        latest_ms = latest_start_ms(flow, margin * self.service_ms)
        return flow.age_ms(now) + wait_ms <= latest_ms


class FairShare(InTimeOnly, name='fair-share'):
    """Queues flows in time, those of accounts below their shares first.

    An account is a client address with a priority, so that a client's flows
    of high priority can't starve its own of low priority either.
    """

    def __init__(self) -> None:
        """Create a policy with an empty queue and no known use."""
        super().__init__()
        self.shares = AccountShares()
        # The accounts of the waiting flows, by flow.
        self._accounts: dict[bytes, bytes] = {}
        self._displaced: list[NewFlow] = []
        self._contended_until = -math.inf

    def decide(
        self,
        now: float,
        flow: NewFlow,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> AdmissionDecision:
        """Decide on a new flow and queue it if the decision is to wait."""
        decision = super().decide(now, flow, busy, slots, service_ms)
        if decision is AdmissionDecision.REFUSE:
            if not flow.is_last:
                return decision
            self._contended_until = now + CONTENTION_S
        account = _account(flow)
        self.shares.record_offer(now, account, _weight(flow))
        if decision is not AdmissionDecision.START and self.is_contended(now):
            self._waiting.pop(flow.key, None)
            is_full = decision is AdmissionDecision.REFUSE
            queue = _Queue(busy + 1 - slots, service_ms / slots, service_ms)
            decision = self._decide_by_share(now, flow, queue, is_full=is_full)
        if decision is not AdmissionDecision.REFUSE:
            self.shares.record_admission(now, account)
        if decision is AdmissionDecision.WAIT:
            self._accounts[flow.key] = account
        return decision

    def next_ready(
        self,
        now: float,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> NewFlow | None:
        """Remove and return the next flow to start if a slot is free."""
        if self.is_contended(now):
            chosen = self._next_by_share(now, busy, slots, service_ms)
        else:
            chosen = super().next_ready(now, busy, slots, service_ms)
        if chosen is not None:
            self._accounts.pop(chosen.key)
        return chosen

    def expire(self, now: float, service_ms: float) -> list[NewFlow]:
        """Remove and return the flows that would miss their targets."""
        expired = super().expire(now, service_ms)
        if expired:
            self._contended_until = now + CONTENTION_S
        return expired

    def clear(self) -> list[NewFlow]:
        """Remove and return all waiting flows."""
        flows = list(self._waiting.values())
        for flow in flows:
            self.discard(flow.key)
        return flows

    def discard(self, key: bytes) -> None:
        """Remove a flow if it is waiting."""
        flow = self._waiting.pop(key, None)
        if flow is not None:
            account = self._accounts.pop(key)
            self.shares.cancel_admission(flow.arrived_at, account)

    def take_displaced(self) -> list[NewFlow]:
        """Remove and return the flows that gave way to others."""
        displaced = self._displaced
        self._displaced = []
        return displaced

    def gauges(self) -> dict[str, Callable[[float], float]]:
        """Return functions of the time that read the shares in force."""
        return {
            'shares_in_force': self.is_contended,
            'share_accounts': lambda _now: len(self.shares),
            'share_accounts_used_up': self.shares.count_at_share,
            'share_level_per_s': self.shares.level_per_s,
        }

    def is_contended(self, now: float) -> bool:
        """Return whether flows could not be served in time recently."""
        return now < self._contended_until

    def _decide_by_share(
        self,
        now: float,
        flow: NewFlow,
        queue: _Queue,
        *,
        is_full: bool,
    ) -> AdmissionDecision:
        """Decide on a flow while shares are in force.

        ``is_full`` is set if the flow can't start in time in order of age.
        """
        account = _account(flow)
        is_below = self.shares.is_below_share(now, account)
        if is_full and not is_below:
            return AdmissionDecision.REFUSE
        used_up = self._accounts_at_share(now)
        ahead = self._count_ahead(flow, used_up, is_below=is_below)
        margin = START_MARGINS[min(flow.priority, LOWEST_PRIORITY)]
        if not queue.is_in_time(now, flow, ahead, margin):
            return AdmissionDecision.REFUSE
        if is_below:
            candidates = {
                other for other in used_up if _may_displace(account, other)
            }
            has_room = self._make_room(now, queue, candidates, is_full=is_full)
            if not has_room:
                return AdmissionDecision.REFUSE
        self._waiting[flow.key] = flow
        return AdmissionDecision.WAIT

    def _count_ahead(
        self, flow: NewFlow, used_up: set[bytes], *, is_below: bool
    ) -> int:
        """Count the waiting flows that start before a new one."""
        born_at = _born_at(flow)
        ahead = 0
        for key, account in self._accounts.items():
            if (account in used_up) is is_below:
                ahead += not is_below
            else:
                ahead += _born_at(self._waiting[key]) <= born_at
        return ahead

    def _make_room(
        self,
        now: float,
        queue: _Queue,
        candidates: set[bytes],
        *,
        is_full: bool,
    ) -> bool:
        """Displace a flow of one of the accounts if needed; return success.

        It gives way at a full queue, or if it would be late at the end of the
        queue.
        """
        if not candidates:
            return not is_full
        account = max(candidates, key=self.shares.relative_use)
        # The youngest has the best chance at another server.
        victim = max(
            (
                self._waiting[key]
                for key, owner in self._accounts.items()
                if owner == account
            ),
            key=_born_at,
        )
        if is_full or not queue.is_in_time(
            now, victim, len(self._waiting), EXPIRY_MARGIN
        ):
            self.discard(victim.key)
            self._displaced.append(victim)
        return True

    def _next_by_share(
        self, now: float, busy: int, slots: int, service_ms: float
    ) -> NewFlow | None:
        if not self._waiting or busy >= slots + OVERCOMMIT:
            return None
        used_up = self._accounts_at_share(now)
        chosen = min(
            self._waiting.values(),
            key=lambda flow: (
                self._accounts[flow.key] in used_up
                or _is_expired(now, flow, service_ms),
                start_rank(now, flow, service_ms),
            ),
        )
        return self._waiting.pop(chosen.key)

    def _accounts_at_share(self, now: float) -> set[bytes]:
        """Return the accounts of waiting flows that have used up a share."""
        return self.shares.used_up(now, set(self._accounts.values()))


def _born_at(flow: NewFlow) -> float:
    """Return the time at which the client sent its first packet."""
    return flow.arrived_at - flow.waited_ms / MS_PER_S


def _account(flow: NewFlow) -> bytes:
    """Return the client's address and the priority of a flow."""
    priority = min(flow.priority, LOWEST_PRIORITY)
    return flow.key[:HOST_BYTES] + bytes((priority,))


def _may_displace(account: bytes, other: bytes) -> bool:
    """Return whether a flow of an account may displace one of another.

    Among flows of the same client only those of lower priority may, so that
    they don't starve. The others start first anyway, and each displaced flow
    costs offers and retries (0.6% of the worth in the scenario burst-small).
    """
    if account[:HOST_BYTES] != other[:HOST_BYTES]:
        return True
    return account[HOST_BYTES] > other[HOST_BYTES]


def _weight(flow: NewFlow) -> float:
    return PRIORITY_WEIGHTS[min(flow.priority, LOWEST_PRIORITY)]


def _is_expired(now: float, flow: NewFlow, service_ms: float) -> bool:
    latest_ms = latest_start_ms(flow, EXPIRY_MARGIN * service_ms)
    return flow.age_ms(now) > latest_ms
