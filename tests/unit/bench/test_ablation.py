"""Tests that the ablation goes on after an interruption."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from attrs import asdict

from bench.ablation import ALL, Outcome, Run, main, read_outcomes
from bench.ablation_switches import MECHANISMS

_SCENARIO = 'route-moves'


class AblationTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name, 'ablation.jsonl')

    def test_each_mechanism_can_be_switched_off(self) -> None:
        """A renamed constant would make its row show nothing."""
        for mechanism in MECHANISMS:
            with self.subTest(mechanism.name), mechanism.disabled() as stack:
                self.assertIsNotNone(stack)

    def test_line_that_an_interruption_cut_off_is_played_again(self) -> None:
        outcomes = [
            Outcome(Run(_SCENARIO, without, 1), 0.5, 1, 2, 3, 0)
            for without in (ALL, *(each.name for each in MECHANISMS))
        ]
        lines = [json.dumps(asdict(each)) for each in outcomes]
        lines[-1] = lines[-1][:20]
        self.path.write_text('\n'.join(lines))
        self.assertEqual(len(read_outcomes(self.path)), len(MECHANISMS))
        with patch('bench.ablation._play_all') as play_all:
            play_all.return_value = {outcomes[-1].run: outcomes[-1]}
            output = self._run('--seeds', '1')
        missing = play_all.call_args.args[0]
        self.assertEqual(missing, [outcomes[-1].run])
        self.assertIn(f'{ALL} | 0.5000', output)

    def test_unknown_scenario_is_an_error(self) -> None:
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            status = main(['--scenarios', f'{_SCENARIO},nope'])
        self.assertEqual(status, 2)
        self.assertIn('nope.toml', errors.getvalue())

    def _run(self, *options: str) -> str:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            main(
                [
                    *('--scenarios', _SCENARIO),
                    *('--results', str(self.path)),
                    *options,
                ]
            )
        return output.getvalue()
