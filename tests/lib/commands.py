"""Run the operators' command line within the test process."""

import contextlib
import io
from typing import Any

from attrs import frozen

from dragonflyshift._internal.cli.application import run


@frozen
class Ran:
    """The end of one command."""

    status: int
    output: str
    errors: str


def run_command(*words: Any) -> Ran:
    """Run a command and return what it printed."""
    output = io.StringIO()
    errors = io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(errors):
            status = run([str(word) for word in words])
    return Ran(status, output.getvalue(), errors.getvalue())
