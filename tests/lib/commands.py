"""Runs the operators' command line within the test process."""

import contextlib
import io
from typing import Any

from attrs import frozen

from dragonflyshift._internal.cli.application import run


@frozen
class CommandResult:
    """Exit code and output of one command."""

    status: int
    output: str
    errors: str


def run_command(*arguments: Any) -> CommandResult:
    """Run a command and return its exit code and output."""
    output = io.StringIO()
    errors = io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(errors):
            status = run([str(word) for word in arguments])
    return CommandResult(status, output.getvalue(), errors.getvalue())
