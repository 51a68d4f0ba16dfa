"""Guards the shipped scenario files and the errors for invalid ones.

A file with an unknown step or too many processes should fail before any
process starts, and the error should name the file.
"""

import tempfile
import unittest
from pathlib import Path

from bench.scenarios.file import Scenario, ScenarioError, load_scenarios
from bench.scenarios.limits import check_limits
from bench.scenarios.steps import check_steps
from dragonflyshift._internal.kernel.registry import load_modules

SERVICE = """
[[service]]
name = "lists"
organisation = "association"
data_centers = ["one"]
"""


class ShippedTest(unittest.TestCase):
    def test_shipped_scenarios_are_valid(self) -> None:
        load_modules(('bench.scenarios.faults',))
        scenarios = load_scenarios()
        names = {each.name for each in scenarios}
        self.assertEqual(len(names), len(scenarios))
        for each in scenarios:
            with self.subTest(each.name):
                check_steps(each)
                check_limits(each)
                self.assertTrue(
                    all(step.at < each.seconds for step in each.step),
                )


class OwnFileTest(unittest.TestCase):
    def test_missing_keys_come_from_the_defaults(self) -> None:
        found = self._load('name = "a"\ntext = "b"\nseconds = 4.0')
        self.assertEqual(found.service[0].name, 'lists')
        self.assertEqual(found.seconds, 4)

    def test_lasting_rescales_step_times(self) -> None:
        text = 'name = "a"\ntext = "b"\n[[step]]\nat = 4.0\ndo = "thaw"'
        self.assertEqual(self._load(text).lasting(2).step[0].at, 1)

    def test_errors_name_the_file(self) -> None:
        for text in ('name = "a', 'name = "a"', 'name = "a"\ntext = "b"\nx=1'):
            with self.subTest(text), self.assertRaises(ScenarioError) as found:
                self._load(text)
            self.assertIn('own.toml', str(found.exception))

    def test_unknown_step_and_too_many_processes_are_rejected(self) -> None:
        text = 'name = "a"\ntext = "b"\n[[step]]\nat = 1.0\ndo = "dance"'
        with self.assertRaisesRegex(ScenarioError, 'dance.*kill-balancer'):
            check_steps(self._load(text))
        with self.assertRaisesRegex(ScenarioError, 'processes'):
            check_limits(self._load('name = "a"\ntext = "b"').scaled(100))

    def _load(self, text: str) -> Scenario:
        with tempfile.TemporaryDirectory() as name:
            directory = Path(name)
            (directory / 'defaults.toml').write_text(SERVICE)
            (directory / 'own.toml').write_text(text)
            return load_scenarios(directory)[0]


if __name__ == '__main__':
    unittest.main()
