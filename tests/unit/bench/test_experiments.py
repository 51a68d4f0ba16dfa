"""Tests of experiments: plans, resumed runs, and results that got worse.

An experiment that silently leaves out an arm, or plays a mechanism that was
renamed, compares a build with itself and shows no difference.
"""

import contextlib
import io
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest.mock import patch

from bench.experiments.__main__ import PLANS, main
from bench.experiments.mechanisms import MECHANISMS
from bench.experiments.plan import (
    ExperimentError,
    Play,
    load_experiment,
)
from bench.experiments.players import EmulatorPlayer
from bench.experiments.report import compare
from bench.experiments.results import PlayResult, ResultFile

_DAY = 'route-moves'
_PLAN = f"""
days = ["{_DAY}"]
seeds = [1, 2, 3]
[[arms]]
name = "all"
[[arms]]
name = "none"
without = ["warm-up rate"]
"""


class ExperimentTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name, 'plan.toml')
        self.results = ResultFile(Path(directory.name, 'results.jsonl'))
        self.path.write_text(_PLAN)

    def test_each_mechanism_can_be_switched_off(self) -> None:
        """A renamed constant would make its row show nothing."""
        for mechanism in MECHANISMS:
            with self.subTest(mechanism.name), mechanism.disabled() as stack:
                self.assertIsNotNone(stack)

    def test_plans_of_the_project_can_be_played(self) -> None:
        for path in PLANS.glob('*.toml'):
            with self.subTest(path.name):
                EmulatorPlayer().check(load_experiment(path))

    def test_ablation_covers_each_mechanism(self) -> None:
        plan = load_experiment(PLANS / 'ablation.toml')
        covered = {name for arm in plan.arms for name in arm.without}
        self.assertEqual(covered, {each.name for each in MECHANISMS})

    def test_line_that_an_interruption_cut_off_is_played_again(self) -> None:
        self._store('all', 0.5, 0.6, 0.7)
        self._store('none', 0.5, 0.6, 0.7)
        lines = self.results.path.read_text()
        self.results.path.write_text(lines[:-20])
        missing = Play('none', _DAY, 3)
        result = PlayResult(missing, 0.8)
        with patch.object(EmulatorPlayer, 'play', return_value=result) as play:
            with patch.object(EmulatorPlayer, 'create_executor', _threads):
                status, output = self._run()
        self.assertEqual(status, 0)
        self.assertEqual(play.call_args.args[1], missing)
        self.assertEqual(play.call_count, 1)
        self.assertEqual(len(self.results.read()), 6)
        self.assertIn('| all | 0.6000 | 0.6000 |', output)

    def test_result_below_a_stored_one_is_an_error(self) -> None:
        self._store('all', 0.5, 0.6, 0.7)
        self._store('none', 0.41, 0.5, 0.6)
        stored = ResultFile(self.path.with_suffix('.stored'))
        for arm, worths in (
            ('all', (0.51, 0.59, 0.7)),
            ('none', (0.5, 0.6, 0.7)),
        ):
            for seed, worth in enumerate(worths, start=1):
                stored.append(PlayResult(Play(arm, _DAY, seed), worth))
        status, output = self._run('--against', str(stored.path))
        self.assertEqual(status, 1)
        self.assertIn('worse: none', output)
        self.assertNotIn('worse: all', output)

    def test_invalid_plans_are_errors(self) -> None:
        for text, reason in (
            ('days = [', 'plan.toml'),
            (_PLAN.replace('"all"', '"none"'), 'the same name'),
            (_PLAN.replace('warm-up rate', 'nope'), 'unknown mechanisms'),
            (f'{_PLAN}constants = {{ "policies.offers.NO" = 1 }}', 'offers.NO'),
            (f'{_PLAN}constants = {{ "nowhere.NO" = 1 }}', 'nowhere.NO'),
            (f'{_PLAN}constants = {{ "load.LoadReport" = 1 }}', 'LoadReport'),
            (_PLAN.replace(_DAY, 'nope'), 'nope.toml'),
            (f'baseline = "x"\n{_PLAN}', 'unknown baseline: x'),
            (f'player = "x"\n{_PLAN}', 'unknown player: x'),
            (f'seed = 1\n{_PLAN}', 'extra fields'),
            (f'player = "bench"\n{_PLAN}', 'the options --bench'),
        ):
            with self.subTest(reason):
                self.path.write_text(text)
                status, output = self._run()
                self.assertEqual(status, 2)
                self.assertIn(reason, output)
                self.assertEqual(output.count('\n'), 1)

    def test_missing_bench_program_is_an_error(self) -> None:
        self.path.write_text(f'player = "bench"\n{_PLAN}')
        folder = str(self.path.parent)
        options = ('--bench', f'{folder}/no', '--sites', folder)
        status, output = self._run(*options, '--work', folder)
        self.assertEqual(status, 2)
        self.assertIn('no bench program', output)

    def test_difference_has_the_spread_of_its_pairs(self) -> None:
        difference = compare((0.6, 0.7, 0.8), (0.5, 0.62, 0.68))
        assert difference is not None
        self.assertAlmostEqual(difference.mean, 0.1)
        self.assertAlmostEqual(difference.error, 0.01155, places=4)
        self.assertGreater(difference.low, 0)
        self.assertIsNone(compare((), ()))

    def test_missing_plan_is_an_error(self) -> None:
        with self.assertRaises(ExperimentError):
            load_experiment(self.path.with_name('none.toml'))

    def _store(self, arm: str, *worths: float) -> None:
        for seed, worth in enumerate(worths, start=1):
            self.results.append(PlayResult(Play(arm, _DAY, seed), worth))

    def _run(self, *options: str) -> tuple[int, str]:
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            status = main(
                [
                    str(self.path),
                    '--results',
                    str(self.results.path),
                    *options,
                ]
            )
        return status, output.getvalue()


def _threads(_player: EmulatorPlayer, jobs: int) -> ThreadPoolExecutor:
    return ThreadPoolExecutor(jobs)
