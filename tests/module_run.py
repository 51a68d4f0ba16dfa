"""Run one test module and write its outcome to a file."""

import json
import sys
import unittest
from pathlib import Path

from attrs import frozen


@frozen
class ModuleOutcome:
    """How many tests of a module ran, and which ones did not pass."""

    ran: int
    broken: tuple[str, ...]


def read_outcome(report: Path, module: str) -> ModuleOutcome:
    """Read a module's outcome; a module without one counts as one failure."""
    if not report.exists():
        return ModuleOutcome(1, (f'{module} (no outcome)',))
    body = json.loads(report.read_text())
    return ModuleOutcome(body['ran'], tuple(body['broken']))


def main(module: str, report: str) -> int:
    """Run the module's tests; return the process's exit status."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    outcome = unittest.TextTestRunner(stream=sys.stdout, verbosity=2).run(suite)
    unexpected = [case.id() for case in outcome.unexpectedSuccesses]
    broken = [case.id() for case, _trace in outcome.failures + outcome.errors]
    body = {'ran': outcome.testsRun, 'broken': broken + unexpected}
    Path(report).write_text(json.dumps(body))
    return int(bool(body['broken']))


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
