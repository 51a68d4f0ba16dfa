"""Run the formatter check, linters, type check and all tests.

The closing line has the form ``N passed, N failed``. Tests named in
KNOWN-RED.txt still run and are printed, but do not decide the verdict.
"""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
CHECKS = (
    ('format', ('ruff', 'format', '--check', 'src', 'tests', 'bench')),
    ('ruff', ('ruff', 'check', 'src', 'tests', 'bench')),
    ('flake8', ('flake8', 'src', 'tests', 'bench')),
    ('types', ('mypy',)),
)


def _known_red() -> frozenset[str]:
    names = set()
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith('test: '):
            names.add(line.removeprefix('test: ').strip())
    return frozenset(names)


def _run_checks() -> int:
    failed = 0
    for name, command in CHECKS:
        done = subprocess.run(
            [sys.executable, '-m', *command],
            cwd=ROOT,
            check=False,
        )
        verdict = 'failed' if done.returncode else 'ok'
        print(f'check {name}: {verdict}', flush=True)
        failed += bool(done.returncode)
    return failed


def _load() -> unittest.TestSuite:
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for part in ('unit', 'functional'):
        start = ROOT / 'tests' / part
        suite.addTests(loader.discover(str(start), top_level_dir=str(ROOT)))
    return suite


def main() -> int:
    """Run everything and return the process's exit status."""
    failed_checks = _run_checks()
    outcome = unittest.TextTestRunner(
        stream=sys.stdout,
        verbosity=2,
    ).run(_load())
    known = _known_red()
    broken = outcome.failures + outcome.errors
    red = [case for case, _trace in broken if case.id() in known]
    for case in red:
        print(f'known red: {case.id()}')
    real = len(broken) - len(red) + len(outcome.unexpectedSuccesses)
    failed = real + failed_checks
    passed = outcome.testsRun - len(broken) + len(CHECKS) - failed_checks
    print(f'{passed} passed, {failed} failed', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
