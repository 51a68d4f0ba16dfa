"""Base of the operators' commands."""

import json
from abc import abstractmethod
from collections.abc import Iterable
from typing import ClassVar

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.config.converter import unstructure

JSON_OPTION = option('json', None, 'Print JSON for scripts.')


class OperatorCommand(Command):
    """A command that prints tables, or JSON with ``--json``."""

    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command and return the exit code."""
        try:
            return self.run_command()
        except KeyboardInterrupt:
            return ExitCode.INTERRUPTED

    @abstractmethod
    def run_command(self) -> ExitCode:
        """Run the command; may raise any DragonflyshiftError or OSError."""

    @property
    def wants_json(self) -> bool:
        """Whether ``--json`` was given."""
        return bool(self.option('json'))

    def print_json(self, report: object) -> None:
        """Print a model or plain data as JSON."""
        text = json.dumps(unstructure(report), indent=2, sort_keys=True)
        self.print_text(text)

    def print_text(self, text: str) -> None:
        """Print text without interpreting markup."""
        self.io.output.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Print text to standard error without interpreting markup."""
        self.io.error_output.write_line(text, type=Type.RAW)

    def print_table(
        self,
        headers: Iterable[str],
        rows: Iterable[Iterable[object]],
    ) -> None:
        """Print a table; markup in cells is escaped."""
        table = self.table(style='compact')
        table.set_headers([str(header) for header in headers])
        table.set_rows([[_escape(cell) for cell in row] for row in rows])
        table.render()


def _escape(cell: object) -> str:
    return Formatter.escape(str(cell))
