"""Replays of the loads that the waiting policy answers."""

import logging
import unittest

from attrs import evolve

from bench.emulator.scenario import load_scenario
from bench.emulator.tally import Tally
from bench.emulator.world import run_scenario
from dragonflyshift._internal.carried.policies.openings import (
    InTimeOnly,
    Opening,
    OpeningPolicy,
    OpeningVerdict,
)
from dragonflyshift._internal.carried.policies.target_first import TargetFirst
from tests.lib.carried import build_new_flow

_SERVICE_MS = 50.0
_SLOTS = 3


class InTimeOnlyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = InTimeOnly()

    def test_free_slot_starts_at_once(self) -> None:
        verdict = self._offer(0, build_new_flow(1), busy=2)
        self.assertIs(verdict, OpeningVerdict.START)

    def test_late_flow_starts_where_a_slot_is_free(self) -> None:
        late = build_new_flow(1, waited_ms=600)
        self.assertIs(self._offer(0, late, busy=2), OpeningVerdict.START)

    def test_late_flow_is_refused_at_once_by_a_full_server(self) -> None:
        late = build_new_flow(1, waited_ms=600)
        self.assertIs(self._offer(0, late, busy=4), OpeningVerdict.REFUSE)
        self.assertEqual(self.policy.waiting, 0)

    def test_full_server_lets_it_wait(self) -> None:
        verdict = self._offer(0, build_new_flow(1), busy=4)
        self.assertIs(verdict, OpeningVerdict.WAIT)
        self.assertIsNone(self._next(0, busy=4))
        chosen = self._next(0, busy=3)
        assert chosen is not None

    def test_busy_server_passes_on_while_another_may_be_idle(self) -> None:
        opening = build_new_flow(1, is_last=False)
        verdict = self._offer(0, opening, busy=_SLOTS)
        self.assertIs(verdict, OpeningVerdict.REFUSE)

    def test_queue_ends_where_answers_would_be_late(self) -> None:
        verdicts = [
            self._offer(0, build_new_flow(number), busy=4)
            for number in range(200)
        ]
        waiting = verdicts.count(OpeningVerdict.WAIT)
        first_refusal = verdicts.index(OpeningVerdict.REFUSE)
        self.assertEqual(first_refusal, waiting)
        # A target of 225 ms less 1.5 answers leaves 3 rounds of three, one of
        # which runs.
        self.assertIn(waiting, range(4, 9))

    def test_oldest_goes_first(self) -> None:
        older = build_new_flow(1, waited_ms=60)
        younger = build_new_flow(2)
        self._offer(0, younger, busy=4)
        self._offer(0, older, busy=4)
        self.assertIs(self._next(0.01, busy=3), older)

    def test_youngest_goes_first_when_time_is_tight(self) -> None:
        """Waits grew beyond the prediction: the oldest will be late."""
        older = build_new_flow(1, waited_ms=115)
        younger = build_new_flow(2, waited_ms=100)
        self.assertIs(self._offer(0, older, busy=4), OpeningVerdict.WAIT)
        self.assertIs(self._offer(0, younger, busy=4), OpeningVerdict.WAIT)
        self.assertIs(self._next(0.05, busy=3), younger)

    def test_urgent_flow_goes_before_older_ones(self) -> None:
        older = build_new_flow(1, waited_ms=40)
        urgent = build_new_flow(2, priority=1)
        self._offer(0, older, busy=4)
        self._offer(0, urgent, busy=4)
        self.assertIs(self._next(0.01, busy=3), urgent)

    def test_urgent_flow_waits_where_another_is_refused(self) -> None:
        for number in range(200):
            self._offer(0, build_new_flow(number), busy=4)
        urgent = build_new_flow(300, priority=1)
        self.assertIs(self._offer(0, urgent, busy=4), OpeningVerdict.WAIT)

    def test_flow_that_became_late_is_returned(self) -> None:
        opening = build_new_flow(1)
        self._offer(0, opening, busy=4)
        self.assertEqual(self.policy.expire(0.17, _SERVICE_MS), [])
        self.assertEqual(self.policy.expire(0.18, _SERVICE_MS), [opening])

    def test_nothing_waits_longer_than_its_client(self) -> None:
        """Clients give up after 1.4 s, also with a target of 5 s."""
        verdicts = [
            self._offer(0, build_new_flow(number, target_ms=5000), busy=4)
            for number in range(200)
        ]
        self.assertLess(verdicts.count(OpeningVerdict.WAIT), 80)
        self.assertTrue(self.policy.expire(1.21, _SERVICE_MS))

    def _offer(
        self,
        now: float,
        opening: Opening,
        busy: int,
    ) -> OpeningVerdict:
        return self.policy.offer(now, opening, busy, _SLOTS, _SERVICE_MS)

    def _next(self, now: float, busy: int) -> Opening | None:
        return self.policy.next_ready(now, busy, _SLOTS, _SERVICE_MS)


class OverloadTest(unittest.TestCase):
    """The load patterns of the bench, replayed by the emulator."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_burst_is_answered_in_time_or_refused(self) -> None:
        """1.7 times the load for three seconds, one slot a server.

        When all may wait the answers come just after their target.
        """
        before = self._play('burst-small', TargetFirst).total()
        ours = self._play('burst-small', InTimeOnly).total()
        self.assertGreater(before.late, 5 * ours.late)
        self.assertGreater(ours.in_time, before.in_time)

    def test_load_returns_after_power_loss(self) -> None:
        """A crowd with dead flows before cold servers."""
        before = self._play('power-loss', TargetFirst)
        ours = self._play('power-loss', InTimeOnly)
        self.assertLess(ours.total().late, before.total().late)
        self.assertGreater(ours.worst(6), before.worst(6))

    def _play(self, name: str, policy: type[OpeningPolicy]) -> Tally:
        """Add three seeds up: one alone varies by more than the gain."""
        scenario = evolve(load_scenario(name), seconds=9)
        joined = Tally()
        for seed in range(1, 4):
            tally = run_scenario(scenario, seed, policy)
            for number, window in tally.windows.items():
                joined.windows[seed * 100 + number] = window
        return joined
