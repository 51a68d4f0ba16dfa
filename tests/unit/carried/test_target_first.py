"""Tests the admission policy that queues flows until clients give up.

After an outage a queue in order of arrival makes all new flows late, because
each one waits behind the late flows of the backlog.
"""

import random

from dragonflyshift._internal.carried.policies.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    InTimeOnly,
    NewFlow,
)
from dragonflyshift._internal.carried.policies.target_first import TargetFirst
from tests.lib import admission_cases
from tests.lib.carried import build_new_flow


class TargetFirstTest(admission_cases.QueuedAdmissionCases):
    def setUp(self) -> None:
        self.policy = TargetFirst()

    def test_last_sidecar_queues_flows_that_can_still_be_served(self) -> None:
        decisions = [
            self.offer(0, build_new_flow(number), busy=4)
            for number in range(200)
        ]
        waiting = decisions.count(AdmissionDecision.WAIT)
        self.assertGreater(waiting, 50)
        self.assertIn(AdmissionDecision.REFUSE, decisions)

    def test_flow_in_time_starts_before_a_late_one(self) -> None:
        late = build_new_flow(1, waited_ms=600)
        new = build_new_flow(2)
        self.offer(0, late, busy=4)
        self.offer(0, new, busy=4)
        self.assertIs(self.next_ready(0.01, busy=3), new)
        self.assertIs(self.next_ready(0.01, busy=3), late)

    def test_higher_priority_starts_first_among_flows_in_time(self) -> None:
        normal = build_new_flow(1)
        urgent = build_new_flow(2, now=0.01, priority=1)
        self.offer(0, normal, busy=4)
        self.offer(0.01, urgent, busy=4)
        self.assertIs(self.next_ready(0.02, busy=3), urgent)

    def test_flow_expires_before_its_client_gives_up(self) -> None:
        flow = build_new_flow(1)
        self.offer(0, flow, busy=4)
        self.assertEqual(
            self.policy.expire(1.0, admission_cases.SERVICE_MS), []
        )
        self.assertEqual(
            self.policy.expire(1.2, admission_cases.SERVICE_MS), [flow]
        )
        self.assertEqual(self.policy.waiting, 0)

    def test_late_flows_are_a_small_part_of_the_reported_backlog(self) -> None:
        """A new flow starts before them.

        Balancers would otherwise send it to a server with fewer late flows,
        where more flows in time are ahead of it.
        """
        for number in range(10):
            self.offer(0, build_new_flow(number, waited_ms=600), busy=4)
        self.assertEqual(self.policy.backlog(0, admission_cases.SERVICE_MS), 1)
        self.offer(0, build_new_flow(10), busy=4)
        self.assertEqual(self.policy.backlog(0, admission_cases.SERVICE_MS), 2)
        self.assertEqual(self.policy.waiting, 11)

    def test_cold_servers_refuse_no_returning_client(self) -> None:
        """All flows are lost, and their clients connect within 0.3 s.

        With cold servers a service time is half of the latency target. A
        policy that queues only what can be in time refuses most flows, whose
        clients use up their retries within 30 ms.
        """
        self.assertEqual(_refused_after_a_return(TargetFirst()), 0)
        self.assertGreater(_refused_after_a_return(InTimeOnly()), 20)

    def test_new_flows_are_in_time_despite_a_late_backlog(self) -> None:
        """After an outage a late backlog and new flows arrive together.

        In order of arrival the backlog makes all new flows late as well.
        """
        self.assertGreater(_share_in_time(TargetFirst()), 0.95)
        self.assertLess(_share_in_time_first_come(), 0.5)

    def test_overload_serves_most_flows_in_time(self) -> None:
        """Flows arrive at 1.3 times the capacity; service times vary.

        If the oldest flow came first, each flow would start just before its
        target and most responses would be late.
        """
        shares = [_overload_in_time(seed) for seed in range(5)]
        # No order can serve more than 1 / 1.3 of the arrivals.
        self.assertGreater(min(shares), 0.7)


_TICKS = 200
_TICK_S = admission_cases.SERVICE_MS / 1000
_BACKLOG = 120
_NEW_PER_TICK = 2


def _arrivals() -> list[NewFlow]:
    backlog = [
        build_new_flow(number, waited_ms=300) for number in range(_BACKLOG)
    ]
    stream = [
        build_new_flow(1000 + number, now=(number // _NEW_PER_TICK) * _TICK_S)
        for number in range(_TICKS * _NEW_PER_TICK)
    ]
    return backlog + stream


def _in_time(started: list[tuple[float, NewFlow]]) -> float:
    new = [(at, flow) for at, flow in started if not flow.waited_ms]
    met = [
        flow
        for at, flow in new
        if flow.age_ms(at) + admission_cases.SERVICE_MS <= flow.target_ms
    ]
    return len(met) / (_TICKS * _NEW_PER_TICK)


def _share_in_time(policy: TargetFirst) -> float:
    """Return the share in time if the policy chooses three flows a tick."""
    remaining = _arrivals()
    started = []
    for tick in range(_TICKS):
        now = tick * _TICK_S
        while remaining and remaining[0].arrived_at <= now:
            policy.decide(
                now,
                remaining.pop(0),
                admission_cases.SLOTS + 1,
                admission_cases.SLOTS,
                admission_cases.SERVICE_MS,
            )
        policy.expire(now, admission_cases.SERVICE_MS)
        for busy in range(admission_cases.SLOTS):
            chosen = policy.next_ready(
                now, busy, admission_cases.SLOTS, admission_cases.SERVICE_MS
            )
            if chosen is not None:
                started.append((now, chosen))
    return _in_time(started)


def _share_in_time_first_come() -> float:
    remaining = _arrivals()
    started = []
    for tick in range(_TICKS):
        now = tick * _TICK_S
        for _ in range(admission_cases.SLOTS):
            if remaining and remaining[0].arrived_at <= now:
                started.append((now, remaining.pop(0)))
    return _in_time(started)


_RETURNING = 40
_RETURN_S = 0.3
_COLDSERVICE_MS = 110.0
_COLDSLOTS = 4


def _refused_after_a_return(policy: AdmissionPolicy) -> int:
    """Return how many flows a cold server refuses or gives up."""
    arrivals = [
        build_new_flow(number, number * _RETURN_S / _RETURNING)
        for number in range(_RETURNING)
    ]
    ends: list[float] = []
    refused = 0
    for tick in range(2000):
        now = tick / 1000
        ends = [end for end in ends if end > now]
        while arrivals and arrivals[0].arrived_at <= now:
            flow = arrivals.pop(0)
            decision = policy.decide(
                now, flow, len(ends), _COLDSLOTS, _COLDSERVICE_MS
            )
            refused += decision is AdmissionDecision.REFUSE
            if decision is AdmissionDecision.START:
                ends.append(now + _COLDSERVICE_MS / 1000)
        refused += len(policy.expire(now, _COLDSERVICE_MS))
        while len(ends) < _COLDSLOTS and policy.waiting:
            policy.next_ready(now, len(ends), _COLDSLOTS, _COLDSERVICE_MS)
            ends.append(now + _COLDSERVICE_MS / 1000)
    return refused


_OVERLOAD_S = 3.0
_ARRIVALS_PER_S = 78.0


def _overload_in_time(seed: int) -> float:
    """Return the share of flows that an overloaded server serves in time."""
    rng = random.Random(seed)
    policy = TargetFirst()
    arrivals = []
    at = rng.expovariate(_ARRIVALS_PER_S)
    while at < _OVERLOAD_S:
        arrivals.append(build_new_flow(len(arrivals), at))
        at += rng.expovariate(_ARRIVALS_PER_S)
    total = len(arrivals)
    ends: list[float] = []
    in_time = 0
    for tick in range(int(_OVERLOAD_S * 1000)):
        now = tick / 1000
        ends = [end for end in ends if end > now]
        while arrivals and arrivals[0].arrived_at <= now:
            flow = arrivals.pop(0)
            policy.decide(
                now,
                flow,
                admission_cases.SLOTS + 1,
                admission_cases.SLOTS,
                admission_cases.SERVICE_MS,
            )
        policy.expire(now, admission_cases.SERVICE_MS)
        while len(ends) < admission_cases.SLOTS:
            chosen = policy.next_ready(
                now,
                len(ends),
                admission_cases.SLOTS,
                admission_cases.SERVICE_MS,
            )
            if chosen is None:
                break
            ran_ms = admission_cases.SERVICE_MS * rng.lognormvariate(
                -0.125, 0.5
            )
            ends.append(now + ran_ms / 1000)
            in_time += chosen.age_ms(now) + ran_ms <= chosen.target_ms
    return in_time / total
