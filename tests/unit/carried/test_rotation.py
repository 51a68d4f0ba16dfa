"""Tests when a stopping balancer ends.

Load pattern: a rolling restart of the seven balancers of a data centre, 1.2 s
apart, with a grace period of 5.2 s. With a fixed wait four of seven are out of
rotation at once; the fabric then uses all of them, also those that have just
ended, and their clients send again after 0.6 s.
"""

import unittest
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.policies.rotation import (
    QUIET_S,
    RotationWatch,
)

_BALANCERS = 7
_GAP_S = 1.2
_GRACE_S = 5.2
_RESTART_S = 0.8
_CHECK_PERIOD_S = 0.5
_STEP_S = 0.01


@define
class _Balancer:
    """A balancer of the replay, which stops at ``stops_at``."""

    stops_at: float
    watch: RotationWatch = field(factory=RotationWatch)
    misses: int = 0
    ended_at: float | None = None

    def is_running(self, now: float) -> bool:
        return self.ended_at is None or now >= self.ended_at + _RESTART_S

    def is_leaving(self, now: float) -> bool:
        return now >= self.stops_at and self.ended_at is None


def _lost_packets(has_ended: Callable[[float, _Balancer], bool]) -> int:
    """Replay the restart; return how many packets reach no process.

    Each balancer in rotation gets 100 packets a second.
    """
    fleet = [_Balancer(1 + _GAP_S * index) for index in range(_BALANCERS)]
    lost = 0
    for step in range(int(18 / _STEP_S)):
        now = step * _STEP_S
        if step % int(_CHECK_PERIOD_S / _STEP_S) == 0:
            _check(now, fleet)
        rotation = [each for each in fleet if each.misses < 2]
        if len(rotation) * 2 < _BALANCERS:
            rotation = fleet
        for balancer in rotation:
            lost += not balancer.is_running(now)
            balancer.watch.record_packet(now)
        for balancer in fleet:
            if balancer.is_leaving(now) and has_ended(now, balancer):
                balancer.ended_at = now
    return lost


def _check(now: float, fleet: list[_Balancer]) -> None:
    for balancer in fleet:
        if balancer.is_running(now) and not balancer.is_leaving(now):
            balancer.misses = 0
            continue
        balancer.misses += 1
        if balancer.is_leaving(now):
            balancer.watch.record_failed_check()


def _after_grace(now: float, balancer: _Balancer) -> bool:
    return now >= balancer.stops_at + _GRACE_S


def _when_unused(now: float, balancer: _Balancer) -> bool:
    return balancer.watch.is_unused(now) or _after_grace(now, balancer)


class RotationWatchTest(unittest.TestCase):
    def test_rolling_restart_loses_no_packet(self) -> None:
        self.assertGreater(_lost_packets(_after_grace), 100)
        self.assertEqual(_lost_packets(_when_unused), 0)

    def test_used_until_two_checks_have_failed(self) -> None:
        """A quiet service sends nothing for long, in rotation or not."""
        watch = RotationWatch()
        watch.record_packet(0)
        watch.record_failed_check()
        self.assertFalse(watch.is_unused(5))
        watch.record_failed_check()
        self.assertTrue(watch.is_unused(5))

    def test_used_while_packets_arrive(self) -> None:
        """The fabric uses all balancers if most of them are stopping."""
        watch = RotationWatch()
        watch.record_failed_check()
        watch.record_failed_check()
        for number in range(20):
            watch.record_packet(number * QUIET_S * 0.9)
            self.assertFalse(watch.is_unused((number + 1) * QUIET_S * 0.9))
