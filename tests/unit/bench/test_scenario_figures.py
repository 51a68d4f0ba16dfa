"""Figures drawn from journals, and the scores that follow from them."""

import unittest

from attrs import evolve

from bench.scenario_figures import (
    Balance,
    Figures,
    Usage,
    last_begins,
    latencies,
)
from bench.scenario_report import Origin, render
from bench.scenario_scores import Pair, Score, losses, pair_runs
from bench.scenario_stage import Leaving
from tests.lib.journal import JournalEntry


def _entry(started: float, ended: float = 0) -> JournalEntry:
    return JournalEntry('a~1', 'GET', '/', 'one', 'lists', started, ended)


def _figures(version: str, broken: int, variation: float) -> Figures:
    balance = Balance('lists', 1 + variation, variation, 1, 0)
    return Figures(
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
    def test_slot_must_be_free_all_the_time(self) -> None:
        usage = Usage([_entry(1, 4), _entry(2, 3), _entry(6)], slots=2)
        self.assertTrue(usage.free_throughout(0, 1.5))
        self.assertFalse(usage.free_throughout(1.5, 2.5))
        self.assertFalse(usage.free_throughout(2.2, 2.5))
        self.assertFalse(usage.free_throughout(0, 9))
        self.assertTrue(usage.free_throughout(3.5, 9))

    def test_one_that_still_runs_holds_its_slot(self) -> None:
        usage = Usage([_entry(1)], slots=1)
        self.assertFalse(usage.free_throughout(8, 9))


class FiguresTest(unittest.TestCase):
    def test_last_begin_after_leaving(self) -> None:
        journal = [_entry(1), _entry(5.5)]
        leavings = [Leaving('one', 5), Leaving('one', 7), Leaving('two', 0)]
        self.assertEqual(last_begins(leavings, journal), [0.5, 0, 0])

    def test_long_answers_are_not_among_short_ones(self) -> None:
        found = latencies({'list': [0.1], 'board': [3.0]})
        self.assertAlmostEqual(found['short'][0], 100, delta=1)
        self.assertAlmostEqual(found['board'][0], 3000, delta=10)


class ScoreTest(unittest.TestCase):
    def test_weightings_differ(self) -> None:
        steady = Score.of(_figures('ours', 0, 0.3))
        even = Score.of(_figures('naive', 8, 0.1))
        self.assertLess(steady.tesfa_order, even.tesfa_order)
        self.assertLess(even.association_order, steady.association_order)
        self.assertEqual((even.tesfa, even.association), (34, 38))

    def test_losses_are_told(self) -> None:
        pair = Pair(_figures('ours', 9, 0.1), _figures('naive', 0, 0.1))
        self.assertIn('broken flows 9, naive 0', losses(pair))
        self.assertEqual(losses(Pair(pair.naive, pair.naive)), [])

    def test_failed_runs_are_shown_and_not_compared(self) -> None:
        ours = evolve(_figures('ours', 0, 0), failed=True, problems=['boom'])
        runs = [ours, _figures('naive', 0, 0)]
        self.assertEqual(pair_runs(runs), ())
        text = render(runs, {}, Origin('bench', 1, 'today'))
        self.assertIn('| steady | ours | failed |', text)
        self.assertIn('- steady (ours): boom', text)


if __name__ == '__main__':
    unittest.main()
