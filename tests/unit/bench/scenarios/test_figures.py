"""Guards the results derived from journals and their scores.

A wrong slot count, latency group or comparison would make a report claim
a result that the run does not show.
"""

import unittest

from attrs import evolve

from bench.scenarios.figures import (
    Balance,
    RunResult,
    SlotUsage,
    last_start_delays,
    latency_percentiles,
)
from bench.scenarios.report import Origin, render
from bench.scenarios.scores import (
    Score,
    VersionPair,
    list_regressions,
    pair_runs,
)
from bench.scenarios.stage import Leaving
from tests.lib.journal import JournalEntry


def _journal_entry(started: float, ended: float = 0) -> JournalEntry:
    return JournalEntry('a~1', 'GET', '/', 'one', 'lists', started, ended)


def _result(version: str, broken: int, variation: float) -> RunResult:
    balance = Balance('lists', 1 + variation, variation, 1, 0)
    return RunResult(
        'steady',
        version,
        1,
        8,
        requests=1000,
        whole=1000 - broken,
        broken_flows=broken,
        balance=[balance],
    )


class UsageTest(unittest.TestCase):
    def test_slot_counts_as_free_only_if_free_throughout(self) -> None:
        usage = SlotUsage(
            [_journal_entry(1, 4), _journal_entry(2, 3), _journal_entry(6)],
            slots=2,
        )
        self.assertTrue(usage.free_throughout(0, 1.5))
        self.assertFalse(usage.free_throughout(1.5, 2.5))
        self.assertFalse(usage.free_throughout(2.2, 2.5))
        self.assertFalse(usage.free_throughout(0, 9))
        self.assertTrue(usage.free_throughout(3.5, 9))

    def test_running_request_occupies_its_slot(self) -> None:
        usage = SlotUsage([_journal_entry(1)], slots=1)
        self.assertFalse(usage.free_throughout(8, 9))


class FiguresTest(unittest.TestCase):
    def test_delay_of_last_start_after_leaving(self) -> None:
        journal = [_journal_entry(1), _journal_entry(5.5)]
        leavings = [
            Leaving('one', 5),
            Leaving('one', 7),
            Leaving('two', 0),
        ]
        self.assertEqual(last_start_delays(leavings, journal), [0.5, 0, 0])

    def test_long_requests_are_excluded_from_short_latencies(self) -> None:
        found = latency_percentiles({'list': [0.1], 'board': [3.0]})
        self.assertAlmostEqual(found['short'][0], 100, delta=1)
        self.assertAlmostEqual(found['board'][0], 3000, delta=10)


class ScoreTest(unittest.TestCase):
    def test_weightings_rank_runs_differently(self) -> None:
        steady = Score.of(_result('ours', 0, 0.3))
        even = Score.of(_result('naive', 8, 0.1))
        self.assertLess(steady.tesfa_order, even.tesfa_order)
        self.assertLess(even.association_order, steady.association_order)
        self.assertEqual((even.tesfa, even.association), (34, 38))

    def test_regressions_are_listed(self) -> None:
        pair = VersionPair(_result('ours', 9, 0.1), _result('naive', 0, 0.1))
        self.assertIn('broken flows 9, naive 0', list_regressions(pair))
        self.assertEqual(
            list_regressions(VersionPair(pair.naive, pair.naive)), []
        )

    def test_failed_runs_are_listed_but_not_compared(self) -> None:
        ours = evolve(_result('ours', 0, 0), failed=True, problems=['boom'])
        runs = [ours, _result('naive', 0, 0)]
        self.assertEqual(pair_runs(runs), ())
        text = render(runs, {}, Origin('bench', 1, 'today'))
        self.assertIn('| steady | ours | failed |', text)
        self.assertIn('- steady (ours): boom', text)


if __name__ == '__main__':
    unittest.main()
