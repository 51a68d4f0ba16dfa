"""Tests of adaptive admission: slots, queue, slow start and shed load.

They guard against overload of the backend server, slots that stay unused, and
requests that wait in the queue although they can't meet their deadline.
"""

import unittest

from dragonflyshift._internal.limits import AdaptiveAdmission, QueueFullError


def _build(
    slots: int = 2,
    queue_limit: int = 8,
    slow_start: float = 0,
) -> AdaptiveAdmission:
    return AdaptiveAdmission(slots, queue_limit, slow_start, now=0)


def _take_all_slots(admission: AdaptiveAdmission, now: float) -> None:
    while admission.free_slots(now):
        admission.try_start(now)


def _run_full_for_rounds(
    admission: AdaptiveAdmission, held: float, rounds: int
) -> float:
    """Run ``rounds`` requests in turn on a full endpoint.

    Returns the time after the last one.
    """
    now: float = 0
    _take_all_slots(admission, now)
    for _ in range(rounds):
        admission.enqueue(now, now + 1000, b'')
        now += held
        admission.finish(now, held)
        admission.start_next(now)
    return now


def _run_full_without_queue(admission: AdaptiveAdmission) -> float:
    now: float = 0
    admission.try_start(now)
    for _ in range(20):
        now += 2
        admission.finish(now, 2)
        admission.try_start(now)
    return now


class SlotTests(unittest.TestCase):
    def test_slow_start_reaches_all_slots(self) -> None:
        admission = _build(slots=4, slow_start=6)
        seen = [admission.capacity(now) for now in (0, 2, 4, 6, 100)]
        self.assertEqual(seen, [1, 2, 3, 4, 4])

    def test_queued_requests_start_before_new_ones(self) -> None:
        admission = _build(slots=1)
        self.assertTrue(admission.try_start(0))
        ticket = admission.enqueue(0, 10, b'a')
        admission.finish(1, 1)
        self.assertFalse(admission.try_start(1))
        self.assertEqual(admission.free_slots(1), 0)
        self.assertIs(admission.start_next(1), ticket)

    def test_shed_lowers_capacity_and_successes_raise_it(self) -> None:
        admission = _build(slots=4)
        admission.record_shed(0)
        admission.record_shed(0.01)
        self.assertEqual(admission.capacity(0.01), 2)
        for _ in range(12):
            admission.record_success(0.02)
        self.assertEqual(admission.capacity(0.02), 4)

    def test_recovers_with_time_while_streams_hold_the_slots(self) -> None:
        admission = _build(slots=4)
        for second in range(10):
            admission.record_shed(second)
        self.assertLess(admission.capacity(10), 4)
        self.assertEqual(admission.capacity(60), 4)

    def test_resize_keeps_running_and_queued(self) -> None:
        admission = _build(slots=3)
        _take_all_slots(admission, 0)
        tickets = [admission.enqueue(0, 50, b'') for _ in range(3)]
        admission.resize(1, 1)
        self.assertEqual((admission.running, admission.queued), (3, 3))
        admission.finish(1, 1)
        self.assertIsNone(admission.start_next(1))
        with self.assertRaises(QueueFullError):
            admission.enqueue(1, 50, b'')
        admission.finish(1, 1)
        admission.finish(1, 1)
        self.assertIs(admission.start_next(1), tickets[0])


class QueueTests(unittest.TestCase):
    def test_earliest_deadline_first_then_arrival(self) -> None:
        admission = _build(slots=1)
        admission.try_start(0)
        late = admission.enqueue(0, 9, b'')
        early = admission.enqueue(0, 5, b'')
        equal = admission.enqueue(0, 5, b'')
        taken = []
        for now in (1, 2, 3):
            admission.finish(now, 1)
            taken.append(admission.start_next(now))
        self.assertEqual(taken, [early, equal, late])

    def test_expires_at_the_deadline_itself(self) -> None:
        admission = _build(slots=1)
        admission.try_start(0)
        ticket = admission.enqueue(0, 5, b'')
        later = admission.enqueue(0, 6, b'')
        self.assertEqual(admission.expire(4.9), ())
        self.assertEqual(admission.expire(5), (ticket,))
        admission.finish(5, 5)
        self.assertIs(admission.start_next(5), later)

    def test_request_is_queued_when_a_slot_is_free(self) -> None:
        admission = _build(slots=1)
        now = _run_full_for_rounds(admission, held=2, rounds=20)
        admission.finish(now, 2)
        ticket = admission.enqueue(now, now + 1, b'')
        self.assertIs(admission.start_next(now), ticket)

    def test_one_client_cannot_fill_the_queue(self) -> None:
        admission = _build(slots=1, queue_limit=8)
        admission.try_start(0)
        with self.assertRaises(QueueFullError):
            for _ in range(8):
                admission.enqueue(0, 50, b'greedy')
        self.assertEqual(admission.queued, 4)
        admission.enqueue(0, 50, b'other')

    def test_deadline_below_the_estimated_wait_is_refused(self) -> None:
        admission = _build(slots=1)
        now = _run_full_for_rounds(admission, held=2, rounds=20)
        with self.assertRaises(QueueFullError) as caught:
            admission.enqueue(now, now + 1, b'')
        self.assertAlmostEqual(caught.exception.retry_after, 2, delta=0.1)
        admission.enqueue(now, now + 3, b'')

    def test_held_slots_raise_the_estimated_wait(self) -> None:
        admission = _build(slots=1)
        now = _run_full_for_rounds(admission, held=0.1, rounds=20)
        self.assertLess(admission.retry_after(now), 1)
        self.assertGreaterEqual(admission.retry_after(now + 30), 30)

    def test_one_long_pause_has_bounded_effect_on_the_estimate(self) -> None:
        admission = _build(slots=1)
        now = _run_full_for_rounds(admission, held=0.1, rounds=20)
        admission.enqueue(now, now + 1000, b'')
        now += 60
        admission.finish(now, 60)
        admission.start_next(now)
        self.assertLess(admission.retry_after(now), 0.2)

    def test_refused_clients_get_staggered_retry_times(self) -> None:
        admission = _build(slots=1, queue_limit=0)
        now = _run_full_without_queue(admission)
        retry_times = []
        for _ in range(4):
            with self.assertRaises(QueueFullError) as caught:
                admission.enqueue(now, now + 1000, b'')
            retry_times.append(caught.exception.retry_after)
        for before, after in zip(retry_times, retry_times[1:], strict=False):
            self.assertAlmostEqual(after - before, 2, delta=0.01)

    def test_refusal_always_has_a_positive_retry_time(self) -> None:
        admission = _build(slots=1, queue_limit=0)
        admission.try_start(0)
        with self.assertRaises(QueueFullError) as caught:
            admission.enqueue(0, 10, b'')
        self.assertGreater(caught.exception.retry_after, 0)
