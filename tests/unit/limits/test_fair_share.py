"""Tests the admission that divides a server between client addresses.

With a queue in order of deadlines, a client that sends most of the requests
over many flows keeps the queue full, and the requests of all others are
refused.
"""

import random
import unittest

from dragonflyshift._internal.limits import (
    AdaptiveAdmission,
    FairShareAdmission,
    QueueFullError,
    Ticket,
)

_HEAVY = 1
_LIGHT = 2
_LIMIT = 8


def _client(account: int, flow: int = 0) -> bytes:
    return account.to_bytes(4, 'big') + flow.to_bytes(8, 'big')


class FairShareAdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = FairShareAdmission(1, _LIMIT, slow_start=0, now=0)
        self.assertTrue(self.admission.try_start(0))
        self.admission.record_start(0, _client(_HEAVY))

    def test_request_displaces_one_of_the_heaviest_account(self) -> None:
        heavy = self._fill()
        ticket = self.admission.enqueue(0.1, 9, _client(_LIGHT))
        self.assertEqual(ticket.displaces, (heavy[-1],))
        self.assertEqual(self.admission.queued, _LIMIT)
        self.admission.finish(0.2, 0.2)
        self.assertIs(self.admission.start_next(0.2), ticket)
        self.admission.finish(0.3, 0.1)
        self.assertIs(self.admission.start_next(0.3), heavy[0])

    def test_gauges_show_the_shares_in_force(self) -> None:
        names = ('shares.in-force', 'shares.accounts', 'shares.used-up')
        self._fill()
        levels = self.admission.gauges(0.1)
        self.assertEqual(levels, dict(zip(names, (0, 1, 0), strict=True)))
        self.admission.enqueue(0.1, 9, _client(_LIGHT))
        levels = self.admission.gauges(0.1)
        self.assertEqual(levels, dict(zip(names, (1, 2, 1), strict=True)))

    def test_used_up_account_is_refused(self) -> None:
        self._fill()
        with self.assertRaises(QueueFullError):
            self.admission.enqueue(0.1, 9, _client(_HEAVY, 99))
        self.assertEqual(self.admission.queued, _LIMIT)

    def test_late_request_displaces_nothing(self) -> None:
        self._fill()
        with self.assertRaises(QueueFullError):
            self.admission.enqueue(0.1, 0.1, _client(_LIGHT))
        self.assertEqual(self.admission.queued, _LIMIT)

    def test_cancelled_request_does_not_count_as_use(self) -> None:
        used = self._use()
        ticket = self.admission.enqueue(0, 9, _client(_HEAVY))
        self.assertGreater(self._use(), used)
        self.admission.cancel(ticket)
        self.admission.cancel(ticket)
        self.assertAlmostEqual(self._use(), used)

    def test_decides_like_adaptive_until_a_request_is_refused(self) -> None:
        refused = 0
        for seed in range(200):
            expected = _events(AdaptiveAdmission, seed)
            actual = _events(FairShareAdmission, seed)
            late = [
                number
                for number, event in enumerate(expected)
                if event in {'refuse', 'expire'}
            ]
            end = late[0] if late else len(expected)
            refused += bool(late)
            with self.subTest(seed=seed):
                self.assertEqual(actual[:end], expected[:end])
        self.assertIn(refused, range(20, 180))

    def _fill(self) -> list[Ticket]:
        """Fill the queue from many flows of one address."""
        return [
            self.admission.enqueue(0, 10 + flow, _client(_HEAVY, flow))
            for flow in range(_LIMIT)
        ]

    def _use(self) -> float:
        return self.admission.shares.relative_use(_client(_HEAVY)[:4])


def _events(plugin: type[AdaptiveAdmission], seed: int) -> list[object]:
    """Return what happens to random requests of random clients."""
    rng = random.Random(seed)
    finish_percent = rng.randrange(50, 100)
    admission = plugin(2, _LIMIT, slow_start=0, now=0)
    events: list[object] = []
    now: float = 0
    for number in range(60):
        now += rng.expovariate(rng.choice((5, 20)))
        if rng.randrange(100) < finish_percent and admission.running:
            admission.finish(now, 0.1)
        if admission.expire(now):
            events.append('expire')
        ticket = admission.start_next(now)
        events.append(ticket and ticket.deadline)
        client = _client(rng.randrange(3), number)
        if admission.try_start(now):
            admission.record_start(now, client)
            continue
        try:
            admission.enqueue(now, now + rng.uniform(1, 9), client)
        except QueueFullError:
            events.append('refuse')
    return events
