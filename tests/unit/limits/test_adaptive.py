"""Adaptive admission: slots, queue, slow start and shed load."""

import unittest

from dragonflyshift._internal.limits import Adaptive, QueueFullError


def _build(
    slots: int = 2,
    queue_limit: int = 8,
    slow_start: float = 0,
) -> Adaptive:
    return Adaptive(slots, queue_limit, slow_start, now=0)


def _take_all_slots(limit: Adaptive, now: float) -> None:
    while limit.free(now):
        limit.try_start(now)


def _measure_pace(limit: Adaptive, held: float, rounds: int) -> float:
    """Run requests one after another on a full endpoint; return the time."""
    now: float = 0
    _take_all_slots(limit, now)
    for _ in range(rounds):
        limit.enqueue(now, now + 1000, b'')
        now += held
        limit.finish(now, held)
        limit.next_ready(now)
    return now


def _measure_pace_without_queue(limit: Adaptive) -> float:
    now: float = 0
    limit.try_start(now)
    for _ in range(20):
        now += 2
        limit.finish(now, 2)
        limit.try_start(now)
    return now


class SlotTests(unittest.TestCase):
    def test_slow_start_reaches_all_slots(self) -> None:
        limit = _build(slots=4, slow_start=6)
        seen = [limit.capacity(now) for now in (0, 2, 4, 6, 100)]
        self.assertEqual(seen, [1, 2, 3, 4, 4])

    def test_waiting_requests_go_before_new_ones(self) -> None:
        limit = _build(slots=1)
        self.assertTrue(limit.try_start(0))
        ticket = limit.enqueue(0, 10, b'a')
        limit.finish(1, 1)
        self.assertFalse(limit.try_start(1))
        self.assertEqual(limit.free(1), 0)
        self.assertIs(limit.next_ready(1), ticket)

    def test_shed_lowers_capacity_and_answers_raise_it(self) -> None:
        limit = _build(slots=4)
        limit.shed(0)
        limit.shed(0.01)
        self.assertEqual(limit.capacity(0.01), 2)
        for _ in range(12):
            limit.served(0.02)
        self.assertEqual(limit.capacity(0.02), 4)

    def test_recovers_with_time_while_streams_hold_the_slots(self) -> None:
        limit = _build(slots=4)
        for second in range(10):
            limit.shed(second)
        self.assertLess(limit.capacity(10), 4)
        self.assertEqual(limit.capacity(60), 4)

    def test_resize_keeps_running_and_queued(self) -> None:
        limit = _build(slots=3)
        _take_all_slots(limit, 0)
        tickets = [limit.enqueue(0, 50, b'') for _ in range(3)]
        limit.resize(1, 1)
        self.assertEqual((limit.running, limit.queued), (3, 3))
        limit.finish(1, 1)
        self.assertIsNone(limit.next_ready(1))
        with self.assertRaises(QueueFullError):
            limit.enqueue(1, 50, b'')
        limit.finish(1, 1)
        limit.finish(1, 1)
        self.assertIs(limit.next_ready(1), tickets[0])


class QueueTests(unittest.TestCase):
    def test_earliest_deadline_first_then_arrival(self) -> None:
        limit = _build(slots=1)
        limit.try_start(0)
        late = limit.enqueue(0, 9, b'')
        early = limit.enqueue(0, 5, b'')
        equal = limit.enqueue(0, 5, b'')
        taken = []
        for now in (1, 2, 3):
            limit.finish(now, 1)
            taken.append(limit.next_ready(now))
        self.assertEqual(taken, [early, equal, late])

    def test_expires_at_the_deadline_itself(self) -> None:
        limit = _build(slots=1)
        limit.try_start(0)
        ticket = limit.enqueue(0, 5, b'')
        later = limit.enqueue(0, 6, b'')
        self.assertEqual(limit.expire(4.9), ())
        self.assertEqual(limit.expire(5), (ticket,))
        limit.finish(5, 5)
        self.assertIs(limit.next_ready(5), later)

    def test_a_free_slot_is_never_hopeless(self) -> None:
        limit = _build(slots=1)
        now = _measure_pace(limit, held=2, rounds=20)
        limit.finish(now, 2)
        ticket = limit.enqueue(now, now + 1, b'')
        self.assertIs(limit.next_ready(now), ticket)

    def test_one_client_leaves_room_for_others(self) -> None:
        limit = _build(slots=1, queue_limit=8)
        limit.try_start(0)
        with self.assertRaises(QueueFullError):
            for _ in range(8):
                limit.enqueue(0, 50, b'greedy')
        self.assertEqual(limit.queued, 4)
        limit.enqueue(0, 50, b'other')

    def test_unmeetable_deadline_is_refused_at_once(self) -> None:
        limit = _build(slots=1)
        now = _measure_pace(limit, held=2, rounds=20)
        with self.assertRaises(QueueFullError) as caught:
            limit.enqueue(now, now + 1, b'')
        self.assertAlmostEqual(caught.exception.retry_after, 2, delta=0.1)
        limit.enqueue(now, now + 3, b'')

    def test_slots_held_by_streams_do_not_look_quick(self) -> None:
        limit = _build(slots=1)
        now = _measure_pace(limit, held=0.1, rounds=20)
        self.assertLess(limit.retry_after(now), 1)
        self.assertGreaterEqual(limit.retry_after(now + 30), 30)

    def test_a_paused_process_does_not_look_slow_for_long(self) -> None:
        limit = _build(slots=1)
        now = _measure_pace(limit, held=0.1, rounds=20)
        limit.enqueue(now, now + 1000, b'')
        now += 60
        limit.finish(now, 60)
        limit.next_ready(now)
        self.assertLess(limit.retry_after(now), 0.2)

    def test_refused_clients_are_told_to_come_back_apart(self) -> None:
        limit = _build(slots=1, queue_limit=0)
        now = _measure_pace_without_queue(limit)
        told = []
        for _ in range(4):
            with self.assertRaises(QueueFullError) as caught:
                limit.enqueue(now, now + 1000, b'')
            told.append(caught.exception.retry_after)
        for before, after in zip(told, told[1:], strict=False):
            self.assertAlmostEqual(after - before, 2, delta=0.01)

    def test_a_refusal_always_has_a_time_to_come_back(self) -> None:
        limit = _build(slots=1, queue_limit=0)
        limit.try_start(0)
        with self.assertRaises(QueueFullError) as caught:
            limit.enqueue(0, 10, b'')
        self.assertGreater(caught.exception.retry_after, 0)
