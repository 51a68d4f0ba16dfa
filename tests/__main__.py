"""Run the formatter check, linters, type check and all tests.

Test modules run concurrently, each in its own process. The last line of
output has the form ``N passed, N failed``. Failures of tests listed in
KNOWN-RED.txt are printed but do not affect the exit status.
"""

import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

from attrs import frozen

from tests.module_run import ModuleOutcome, read_outcome

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
CHECKS = (
    ('format', ('ruff', 'format', '--check', 'src', 'tests', 'bench')),
    ('ruff', ('ruff', 'check', 'src', 'tests', 'bench')),
    ('flake8', ('flake8', 'src', 'tests', 'bench')),
    ('types', ('mypy',)),
)
# A functional test module starts about ten processes. With one module per two
# cores, timings stay close to those of a module that runs alone.
WORKERS = max(1, (os.cpu_count() or 2) // 2)


@frozen
class Job:
    """A test module and the path where its process writes the outcome."""

    module: str
    report: Path


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
        status = 'failed' if done.returncode else 'ok'
        print(f'check {name}: {status}', flush=True)
        failed += bool(done.returncode)
    return failed


def _modules() -> list[str]:
    """Return all test modules; slow functional modules come first."""
    found = []
    for part in ('functional', 'unit'):
        for path in sorted((ROOT / 'tests' / part).rglob('test_*.py')):
            relative = path.relative_to(ROOT).with_suffix('')
            found.append('.'.join(relative.parts))
    return found


def _run_module(job: Job) -> ModuleOutcome:
    done = subprocess.run(
        [sys.executable, '-m', 'tests.module_run', job.module, job.report],
        cwd=ROOT,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
    )
    print(f'module {job.module}\n{done.stdout}', flush=True)
    return read_outcome(job.report, job.module)


def _run_tests() -> list[ModuleOutcome]:
    with tempfile.TemporaryDirectory() as folder:
        jobs = [Job(module, Path(folder) / module) for module in _modules()]
        with ThreadPoolExecutor(WORKERS) as pool:
            running = [pool.submit(_run_module, job) for job in jobs]
            return [future.result() for future in as_completed(running)]


def main() -> int:
    """Run all checks and tests and return the exit status."""
    failed_checks = _run_checks()
    outcomes = _run_tests()
    known_red = _known_red()
    failing = [test for outcome in outcomes for test in outcome.failing]
    for test in failing:
        print(f'{"known red" if test in known_red else "failed"}: {test}')
    unexpected = sum(test not in known_red for test in failing)
    failed = unexpected + failed_checks
    ran = sum(outcome.ran for outcome in outcomes)
    passed = ran - len(failing) + len(CHECKS) - failed_checks
    print(f'{passed} passed, {failed} failed', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
