"""Guards the policy simulation and our policies against the naive ones.

A simulation that loses requests or miscounts gives wrong comparisons. Our
policies fail here if they leave slots idle, answer too late or retry without
a limit.
"""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from bench.policies.load import (
    COMMON_QUEUE,
    NAIVE,
    OURS,
    Scenario,
    main,
    measure,
    parse_arguments,
)
from bench.policies.tally import RunStatistics, max_to_mean, variation
from bench.policies.trace import Workload, build_trace
from dragonflyshift._internal.kernel.registry import load_modules

SEED = 1
SHORT = ('--seconds', '30')


def _measure(system: str, load: float, fault: str = 'none') -> RunStatistics:
    load_modules(('bench.naive',))
    cfg = parse_arguments(SHORT)
    return measure(Scenario(3, load, fault), system, cfg, SEED)


class TraceTests(unittest.TestCase):
    def test_load_and_length_follow_the_workload(self) -> None:
        workload = Workload(slots=3, load=0.7, seed=SEED)
        trace = build_trace(workload)
        requested = sum(arrival.service_time for arrival in trace)
        offered = workload.seconds * workload.slots * workload.endpoints
        self.assertAlmostEqual(requested / offered, 0.7, delta=0.07)

    def test_same_seed_same_trace(self) -> None:
        workload = Workload(slots=3, load=0.7, seed=SEED, seconds=5)
        self.assertEqual(build_trace(workload), build_trace(workload))


class ImbalanceTests(unittest.TestCase):
    def test_imbalance(self) -> None:
        self.assertEqual(max_to_mean((1, 1, 4)), 2)
        self.assertEqual(variation((2, 2)), 0)
        self.assertEqual(variation((1, 3)), 0.5)
        self.assertEqual(max_to_mean((0, 0)), 1)


class PolicyLoadTests(unittest.TestCase):
    def test_every_request_ends_once(self) -> None:
        for fault in ('none', 'failing', 'shedding'):
            with self.subTest(fault=fault):
                statistics = _measure(OURS.label, 1.3, fault)
                self.assertEqual(statistics.unfinished, 0)
                self.assertEqual(statistics.late, 0)

    def test_common_queue_leaves_no_slot_idle(self) -> None:
        statistics = _measure(COMMON_QUEUE, 0.95)
        self.assertEqual(statistics.idle_while_waiting, 0)
        self.assertEqual(statistics.wrongly_refused, 0)

    def test_naive_pins_requests_and_ours_does_not(self) -> None:
        ours = _measure(OURS.label, 0.7)
        naive = _measure(NAIVE.label, 0.7)
        common_queue = _measure(COMMON_QUEUE, 0.7)
        self.assertLess(ours.slot_seconds_max_to_mean, 1.2)
        self.assertGreater(naive.slot_seconds_max_to_mean, 1.2)
        self.assertLess(
            ours.idle_while_waiting,
            naive.idle_while_waiting / 4,
        )
        self.assertLessEqual(common_queue.wait_p99_ms, ours.wait_p99_ms)
        self.assertLess(ours.wait_p99_ms, naive.wait_p99_ms / 2)

    def test_naive_answers_too_late_under_overload(self) -> None:
        ours = _measure(OURS.label, 1.3)
        naive = _measure(NAIVE.label, 1.3)
        self.assertGreater(naive.late, 0.2)
        self.assertGreater(ours.whole, naive.whole)

    def test_naive_retries_without_limit(self) -> None:
        ours = _measure(OURS.label, 0.7, 'failing')
        naive = _measure(NAIVE.label, 0.7, 'failing')
        self.assertLessEqual(ours.attempts_per_request, 1.11)
        self.assertGreater(naive.attempts_per_request, 1.11)

    def test_command_writes_results(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'out.json'
            arguments = (
                '--json',
                str(path),
                '--only',
                '7 x 4 slots, 70%',
                '--repeat',
                '1',
                '--seconds',
                '15',
            )
            with contextlib.redirect_stdout(io.StringIO()) as printed:
                self.assertEqual(main(arguments), 0)
            runs = json.loads(path.read_text())
        self.assertEqual(
            [run['system'] for run in runs],
            ['ours', 'naive', 'common queue'],
        )
        self.assertIn('| 7 x 4 slots, 70% | ours |', printed.getvalue())


if __name__ == '__main__':
    unittest.main()
