"""Replays of the loads that waiting until the end answers."""

import random
import unittest

from dragonflyshift._internal.carried.policies.openings import (
    Opening,
    OpeningVerdict,
)
from dragonflyshift._internal.carried.policies.target_first import TargetFirst
from tests.lib.carried import build_new_flow

_SERVICE_MS = 50.0
_SLOTS = 3


class OpeningsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = TargetFirst()

    def test_free_slot_starts_at_once(self) -> None:
        verdict = self._offer(0, build_new_flow(1), busy=2)
        self.assertIs(verdict, OpeningVerdict.START)

    def test_full_server_lets_it_wait(self) -> None:
        verdict = self._offer(0, build_new_flow(1), busy=4)
        self.assertIs(verdict, OpeningVerdict.WAIT)
        self.assertIsNone(self._next(0, busy=4))
        chosen = self._next(0, busy=3)
        assert chosen is not None

    def test_busy_server_passes_on_while_another_may_be_idle(self) -> None:
        """One slot a server at 70 % use: most others are idle."""
        opening = build_new_flow(1, is_last=False)
        verdict = self._offer(0, opening, busy=_SLOTS)
        self.assertIs(verdict, OpeningVerdict.REFUSE)
        self.assertEqual(self.policy.waiting, 0)

    def test_last_sidecar_keeps_what_can_still_be_served(self) -> None:
        verdicts = [
            self._offer(0, build_new_flow(number), busy=4)
            for number in range(200)
        ]
        waiting = verdicts.count(OpeningVerdict.WAIT)
        self.assertGreater(waiting, 50)
        self.assertIn(OpeningVerdict.REFUSE, verdicts)

    def test_those_in_time_go_before_the_late(self) -> None:
        late = build_new_flow(1, waited_ms=600)
        fresh = build_new_flow(2)
        self._offer(0, late, busy=4)
        self._offer(0, fresh, busy=4)
        self.assertIs(self._next(0.01, busy=3), fresh)
        self.assertIs(self._next(0.01, busy=3), late)

    def test_dear_ones_go_first_among_those_in_time(self) -> None:
        cheap = build_new_flow(1)
        dear = build_new_flow(2, now=0.01, priority=1)
        self._offer(0, cheap, busy=4)
        self._offer(0.01, dear, busy=4)
        self.assertIs(self._next(0.02, busy=3), dear)

    def test_hopeless_ones_end_before_the_client_gives_up(self) -> None:
        opening = build_new_flow(1)
        self._offer(0, opening, busy=4)
        self.assertEqual(self.policy.expire(1.0, _SERVICE_MS), [])
        self.assertEqual(self.policy.expire(1.2, _SERVICE_MS), [opening])
        self.assertEqual(self.policy.waiting, 0)

    def test_returning_crowd_is_served_in_time_beside_the_late(self) -> None:
        """A backlog of late flows meets the usual stream of new ones.

        In arrival order the backlog makes every new flow late as well.
        """
        self.assertGreater(_share_in_time(TargetFirst()), 0.95)
        self.assertLess(_share_in_time_first_come(), 0.5)

    def test_overload_serves_some_in_time_instead_of_all_late(self) -> None:
        """Arrivals at 1.3 times the capacity, service times that vary.

        Oldest first starts each flow when its target is all but missed.
        """
        shares = [_overload_in_time(seed) for seed in range(5)]
        # No order serves more than 1 / 1.3 of the arrivals.
        self.assertGreater(min(shares), 0.7)

    def _offer(
        self,
        now: float,
        opening: Opening,
        busy: int,
    ) -> OpeningVerdict:
        return self.policy.offer(now, opening, busy, _SLOTS, _SERVICE_MS)

    def _next(self, now: float, busy: int) -> Opening | None:
        return self.policy.next_ready(now, busy, _SLOTS, _SERVICE_MS)


_TICKS = 200
_TICK_S = _SERVICE_MS / 1000
_BACKLOG = 120
_NEW_PER_TICK = 2


def _arrivals() -> list[Opening]:
    backlog = [
        build_new_flow(number, waited_ms=300) for number in range(_BACKLOG)
    ]
    stream = [
        build_new_flow(1000 + number, now=(number // _NEW_PER_TICK) * _TICK_S)
        for number in range(_TICKS * _NEW_PER_TICK)
    ]
    return backlog + stream


def _in_time(started: list[tuple[float, Opening]]) -> float:
    fresh = [(at, item) for at, item in started if not item.waited_ms]
    met = [
        item
        for at, item in fresh
        if item.age_ms(at) + _SERVICE_MS <= item.target_ms
    ]
    return len(met) / (_TICKS * _NEW_PER_TICK)


def _share_in_time(policy: TargetFirst) -> float:
    """Serve a batch of three each tick, as the policy chooses."""
    left = _arrivals()
    started = []
    for tick in range(_TICKS):
        now = tick * _TICK_S
        while left and left[0].arrived_at <= now:
            policy.offer(now, left.pop(0), _SLOTS + 1, _SLOTS, _SERVICE_MS)
        policy.expire(now, _SERVICE_MS)
        for busy in range(_SLOTS):
            chosen = policy.next_ready(now, busy, _SLOTS, _SERVICE_MS)
            if chosen is not None:
                started.append((now, chosen))
    return _in_time(started)


def _share_in_time_first_come() -> float:
    left = _arrivals()
    started = []
    for tick in range(_TICKS):
        now = tick * _TICK_S
        for _ in range(_SLOTS):
            if left and left[0].arrived_at <= now:
                started.append((now, left.pop(0)))
    return _in_time(started)


_OVERLOAD_S = 3.0
_ARRIVALS_PER_S = 78.0


def _overload_in_time(seed: int) -> float:
    """Return the share of flows that an overloaded server ends in time."""
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
            opening = arrivals.pop(0)
            policy.offer(now, opening, _SLOTS + 1, _SLOTS, _SERVICE_MS)
        policy.expire(now, _SERVICE_MS)
        while len(ends) < _SLOTS:
            chosen = policy.next_ready(now, len(ends), _SLOTS, _SERVICE_MS)
            if chosen is None:
                break
            ran_ms = _SERVICE_MS * rng.lognormvariate(-0.125, 0.5)
            ends.append(now + ran_ms / 1000)
            in_time += chosen.age_ms(now) + ran_ms <= chosen.target_ms
    return in_time / total
