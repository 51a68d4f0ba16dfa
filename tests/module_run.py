"""Run one test module and write its outcome to a JSON file."""

import json
import sys
import unittest
from pathlib import Path

from attrs import frozen


@frozen
class ModuleOutcome:
    """The number of tests that ran and the ids of those not passed."""

    ran: int
    failing: tuple[str, ...]


def read_outcome(report: Path, module: str) -> ModuleOutcome:
    """Read a module's outcome; a missing report counts as one failure."""
    if not report.exists():
        return ModuleOutcome(1, (f'{module} (no outcome)',))
    body = json.loads(report.read_text())
    return ModuleOutcome(body['ran'], tuple(body['broken']))


def main(module: str, report: str) -> int:
    """Run the tests of a module and return the exit status."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    outcome = unittest.TextTestRunner(stream=sys.stdout, verbosity=2).run(suite)
    unexpected = [case.id() for case in outcome.unexpectedSuccesses]
    failing = [case.id() for case, _trace in outcome.failures + outcome.errors]
    body = {'ran': outcome.testsRun, 'broken': failing + unexpected}
    Path(report).write_text(json.dumps(body))
    return int(bool(body['broken']))


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
