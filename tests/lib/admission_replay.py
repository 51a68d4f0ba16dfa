"""Replay of arrivals at one backend server under an admission policy."""

__all__ = ('SERVICE_MS', 'Arrival', 'Replay', 'build_account_key')

import heapq
from collections.abc import Iterable

from attrs import define, field

from dragonflyshift._internal.carried.policies.admission import (
    OVERCOMMIT,
    AdmissionDecision,
    AdmissionPolicy,
    NewFlow,
)

SERVICE_MS = 50.0
TICK_S = 0.02
_MS_PER_S = 1000


def build_account_key(account: int, number: int) -> bytes:
    """Return the key of a flow of a client address; numbers are unique."""
    client = (100 << 24) + account
    return client.to_bytes(4, 'big') + number.to_bytes(8, 'big')


@define
class Arrival:
    """A new flow and the service time of its request in milliseconds."""

    flow: NewFlow
    work_ms: float


@define(eq=False)
class Replay:
    """Runs arrivals in order of time, and records what the policy does.

    ``events`` holds the time, what happened and the key of the flow.
    ``idle_while_waiting`` counts events after which the policy left a slot
    free although a flow waited.
    """

    policy: AdmissionPolicy
    slots: int
    events: list[tuple[float, str, bytes]] = field(factory=list)
    idle_while_waiting: int = 0
    _ends: list[float] = field(factory=list)
    _free_at: list[float] = field(init=False)
    _work_ms: dict[bytes, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the free slots."""
        self._free_at = [float('-inf') for _ in range(self.slots)]

    def run(self, arrivals: Iterable[Arrival]) -> None:
        """Replay the arrivals and then let the queue empty."""
        tick = 0
        for arrival in arrivals:
            at = arrival.flow.arrived_at
            tick = self._run_ticks(tick, at)
            self._run_ends(at)
            self._offer(at, arrival)
        while self.policy.waiting or self._ends:
            tick = self._run_ticks(tick, (tick + 1) * TICK_S)

    def keys(self, *kinds: str) -> list[bytes]:
        """Return the flows to which one of the given events happened."""
        return [key for _at, kind, key in self.events if kind in kinds]

    def _run_ticks(self, tick: int, until: float) -> int:
        while tick * TICK_S <= until:
            now = tick * TICK_S
            self._run_ends(now)
            for flow in self.policy.expire(now, SERVICE_MS):
                self.events.append((now, 'expire', flow.key))
            tick += 1
        return tick

    def _run_ends(self, now: float) -> None:
        while self._ends and self._ends[0] <= now:
            self._start_waiting(heapq.heappop(self._ends))

    def _offer(self, now: float, arrival: Arrival) -> None:
        flow = arrival.flow
        self._work_ms[flow.key] = arrival.work_ms
        decision = self.policy.decide(
            now, flow, len(self._ends), self.slots, SERVICE_MS
        )
        kind = decision.value if flow.is_last else f'probe-{decision.value}'
        self.events.append((now, kind, flow.key))
        for displaced in self.policy.take_displaced():
            self.events.append((now, 'displace', displaced.key))
        if decision is AdmissionDecision.START:
            self._start(now, flow)

    def _start_waiting(self, now: float) -> None:
        while self.policy.waiting:
            busy = len(self._ends)
            flow = self.policy.next_ready(now, busy, self.slots, SERVICE_MS)
            if flow is None:
                self.idle_while_waiting += busy < self.slots + OVERCOMMIT
                return
            self.events.append((now, 'begin', flow.key))
            self._start(now, flow)

    def _start(self, now: float, flow: NewFlow) -> None:
        started_at = max(now, heapq.heappop(self._free_at))
        ends_at = started_at + self._work_ms[flow.key] / _MS_PER_S
        heapq.heappush(self._free_at, ends_at)
        heapq.heappush(self._ends, ends_at)
