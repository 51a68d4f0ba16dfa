"""Tests that the commands which the pages name can be run.

A module that moves leaves commands behind that end with an import error.
"""

import re
import unittest
from importlib.util import find_spec
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
_COMMAND = re.compile(r'-m (bench(?:\.[a-z_]+)*)')


def _pages() -> list[Path]:
    docs = sorted((ROOT / 'docs').rglob('*.md'))
    return [ROOT / 'README.md', ROOT / 'CONTRIBUTING.md', *docs]


def _is_runnable(module: str) -> bool:
    try:
        spec = find_spec(module)
    except ModuleNotFoundError:
        return False
    if spec is None:
        return False
    if spec.submodule_search_locations is None:
        return True
    return find_spec(f'{module}.__main__') is not None


class CommandsTest(unittest.TestCase):
    def test_commands_in_pages_can_be_run(self) -> None:
        commands = [
            (page, module)
            for page in _pages()
            for module in _COMMAND.findall(page.read_text())
        ]
        self.assertTrue(commands)
        for page, module in commands:
            with self.subTest(page=page.name, module=module):
                self.assertTrue(_is_runnable(module))

    def test_missing_module_is_not_runnable(self) -> None:
        self.assertFalse(_is_runnable('bench.missing'))
        self.assertFalse(_is_runnable('bench.missing.module'))
        self.assertFalse(_is_runnable('bench.naive'))
