"""Tests the admission policy that divides a server between client accounts.

In order of arrival, a client that opens most of the flows gets most of the
server, and the flows of all others are refused in the same proportion as its
own. A policy that prevents this must not change anything while there is room
for all, and must not waste capacity.
"""

import logging
import random
import unittest

from attrs import evolve

from bench.emulator.scenario import load_scenario
from bench.emulator.simulation import run_scenario
from dragonflyshift._internal.carried.policies.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    InTimeOnly,
    NewFlow,
)
from dragonflyshift._internal.carried.policies.fair_share import FairShare
from tests.lib.admission_replay import (
    SERVICE_MS,
    Arrival,
    Replay,
    build_account_key,
)
from tests.lib.carried import build_new_flow

_HEAVY = 1
_LIGHT = 2
_SLOTS = 2
_SERVED = ('start', 'begin', 'probe-start')


class FairShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = FairShare()
        self.count = 0

    def test_waiting_flow_gives_way_to_an_account_below_its_share(self) -> None:
        self._fill()
        waiting = self.policy.waiting
        flow = self._flow(_LIGHT)
        self.assertIs(self._offer(flow), AdmissionDecision.WAIT)
        (displaced,) = self.policy.take_displaced()
        self.assertEqual(displaced.key[3], _HEAVY)
        self.assertFalse(self.policy.holds(displaced.key))
        self.assertEqual(self.policy.take_displaced(), [])
        self.assertEqual(self.policy.waiting, waiting)
        self.assertIs(self._next(), flow)

    def test_account_at_its_share_displaces_nothing(self) -> None:
        self._fill()
        self.assertIs(self._offer(self._flow(_HEAVY)), AdmissionDecision.REFUSE)
        self.assertEqual(self.policy.take_displaced(), [])

    def test_urgent_flow_displaces_none_of_its_own_client(self) -> None:
        """Behind one address that costs offers and retries for nothing."""
        self._fill()
        for client in (_HEAVY, _LIGHT):
            for _ in range(3):
                self._offer(self._flow(client, priority=1))
            displaced = self.policy.take_displaced()
            with self.subTest(client=client):
                self.assertEqual(bool(displaced), client == _LIGHT)

    def test_flow_that_would_be_late_is_refused_below_its_share(self) -> None:
        self._fill()
        late = self._flow(_LIGHT, waited_ms=170)
        self.assertIs(self._offer(late), AdmissionDecision.REFUSE)
        self.assertEqual(self.policy.take_displaced(), [])

    def test_equal_accounts_do_not_displace_each_other(self) -> None:
        """Displacing flows of equal accounts would only cost offers."""
        displaced = 0
        for number in range(200):
            self._offer(self._flow(10 + number % 4), now=number / 1000)
            displaced += len(self.policy.take_displaced())
        self.assertLess(displaced, 5)

    def test_returned_flows_do_not_count_as_use(self) -> None:
        self._fill()
        used = self.policy.shares.relative_use(_account(_HEAVY))
        waiting = len(self.policy.clear())
        left = self.policy.shares.relative_use(_account(_HEAVY))
        self.assertAlmostEqual(used - left, waiting)

    def _fill(self) -> None:
        while self._offer(self._flow(_HEAVY)) is not AdmissionDecision.REFUSE:
            self.assertLess(self.policy.waiting, 100)

    def _flow(self, account: int, **changes: float) -> NewFlow:
        self.count += 1
        key = build_account_key(account, self.count)
        return build_new_flow(key=key, **changes)

    def _offer(self, flow: NewFlow, now: float = 0) -> AdmissionDecision:
        return self.policy.decide(now, flow, _SLOTS + 1, _SLOTS, SERVICE_MS)

    def _next(self) -> NewFlow | None:
        return self.policy.next_ready(0.01, _SLOTS, _SLOTS, SERVICE_MS)


class ReplayTest(unittest.TestCase):
    def test_decides_like_in_time_only_until_a_flow_is_refused(self) -> None:
        """Random loads; up to the first late flow all events must be equal."""
        undisturbed = 0
        for seed in range(400):
            arrivals = _random_arrivals(random.Random(seed))
            expected = _replay(InTimeOnly(), arrivals).events
            actual = _replay(FairShare(), arrivals).events
            kinds = [kind for _at, kind, _key in expected]
            has_room = not {'refuse', 'expire'} & set(kinds)
            undisturbed += has_room and 'wait' in kinds
            end = len(kinds) if has_room else _first_late(kinds)
            with self.subTest(seed=seed):
                self.assertEqual(actual[:end], expected[:end])
                if has_room:
                    self.assertEqual(len(actual), len(expected))
        self.assertGreater(undisturbed, 50)

    def test_no_slot_is_idle_and_each_flow_ends_once(self) -> None:
        for seed in range(100):
            rng = random.Random(seed)
            arrivals = _random_arrivals(rng, overload=rng.uniform(1, 4))
            replay = _replay(FairShare(), arrivals)
            ended = replay.keys(
                *_SERVED, 'refuse', 'probe-refuse', 'expire', 'displace'
            )
            with self.subTest(seed=seed):
                self.assertEqual(replay.idle_while_waiting, 0)
                self.assertCountEqual(
                    ended, [arrival.flow.key for arrival in arrivals]
                )

    def test_heavy_account_does_not_displace_light_ones(self) -> None:
        """One account offers 1.5 times the capacity, eight 5% each."""
        rates = {_HEAVY: 60.0, **{10 + number: 2.0 for number in range(8)}}
        arrivals = _arrivals(random.Random(1), rates, seconds=30)
        before = _replay(InTimeOnly(), arrivals)
        after = _replay(FairShare(), arrivals)
        self.assertLess(_share_served(before, arrivals, 10), 0.8)
        for account in range(10, 18):
            self.assertGreater(_share_served(after, arrivals, account), 0.9)
        # The rest of the capacity still serves the heavy account.
        self.assertGreater(
            len(after.keys(*_SERVED)), 0.98 * len(before.keys(*_SERVED))
        )

    def test_lowest_priority_does_not_starve(self) -> None:
        """Flows of the highest priority alone exceed the capacity.

        The weights 4 and 1 give the lowest priority a fifth of 40 flows/s,
        whether or not the flows come from the same client address.
        """
        for account in (_HEAVY, _LIGHT):
            urgent = {_HEAVY: 120.0}
            arrivals = _arrivals(random.Random(1), urgent, 30, priority=0)
            arrivals += _arrivals(random.Random(2), {account: 40.0}, 30)
            arrivals.sort(key=lambda arrival: arrival.flow.arrived_at)
            starved, served = (
                _lowest_per_s(_replay(policy, arrivals), arrivals, 30)
                for policy in (InTimeOnly(), FairShare())
            )
            with self.subTest(account=account):
                self.assertLess(starved, 2)
                self.assertGreater(served, 6)
                self.assertLess(served, 10)


class HeavyCallerTest(unittest.TestCase):
    def test_light_callers_are_served_beside_a_heavy_one(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        scenario = evolve(load_scenario('heavy-caller'), seconds=6)
        worths = {}
        for policy in (InTimeOnly, FairShare):
            statistics = run_scenario(scenario, 1, policy)
            self.assertEqual(statistics.violations, [])
            worths[policy] = min(
                window.worth
                for (name, _caller), window in statistics.accounts.items()
                if name == 'view'
            )
        self.assertLess(worths[InTimeOnly], 0.7)
        self.assertGreater(worths[FairShare], 0.85)


def _account(number: int, priority: int = 2) -> bytes:
    return build_account_key(number, 0)[:4] + bytes((priority,))


def _replay(policy: AdmissionPolicy, arrivals: list[Arrival]) -> Replay:
    replay = Replay(policy, _SLOTS)
    replay.run(arrivals)
    return replay


def _first_late(kinds: list[str]) -> int:
    return min(
        number
        for number, kind in enumerate(kinds)
        if kind in {'refuse', 'expire'}
    )


def _random_arrivals(
    rng: random.Random, overload: float | None = None
) -> list[Arrival]:
    """Return arrivals of a few accounts of unequal rates and priorities."""
    capacity_per_s = _SLOTS * 1000 / SERVICE_MS
    load = overload or rng.uniform(0.3, 0.9)
    accounts = rng.randrange(1, 9)
    parts = [rng.expovariate(1) for _ in range(accounts)]
    rates = {
        number: load * capacity_per_s * part / sum(parts)
        for number, part in enumerate(parts)
    }
    arrivals = _arrivals(rng, rates, seconds=3, target_ms=400)
    for arrival in arrivals:
        arrival.flow.priority = rng.randrange(4)
        arrival.flow.is_last = rng.randrange(5) > 0
        arrival.flow.waited_ms = rng.choice((0, 0, 5, 40))
    return arrivals


def _arrivals(
    rng: random.Random, rates: dict[int, float], seconds: float, **changes: int
) -> list[Arrival]:
    """Return arrivals of each account at its rate, with random work."""
    arrivals = []
    for account, per_s in rates.items():
        at = rng.expovariate(per_s)
        while at < seconds:
            key = build_account_key(account, rng.getrandbits(64))
            work_ms = SERVICE_MS * rng.lognormvariate(-0.125, 0.5)
            flow = build_new_flow(key=key, now=at, **changes)
            arrivals.append(Arrival(flow, work_ms))
            at += rng.expovariate(per_s)
    return sorted(arrivals, key=lambda arrival: arrival.flow.arrived_at)


def _share_served(
    replay: Replay, arrivals: list[Arrival], account: int
) -> float:
    prefix = _account(account)[:4]
    offered = [
        arrival for arrival in arrivals if arrival.flow.key.startswith(prefix)
    ]
    served = [key for key in replay.keys(*_SERVED) if key.startswith(prefix)]
    return len(served) / len(offered)


def _lowest_per_s(
    replay: Replay, arrivals: list[Arrival], seconds: float
) -> float:
    lowest = {
        arrival.flow.key for arrival in arrivals if arrival.flow.priority == 2
    }
    return len(lowest & set(replay.keys(*_SERVED))) / seconds
