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

from dragonflyshift._internal.cli.status_codes import StatusCode
from dragonflyshift._internal.config.converter import unstructure

JSON_OPTION = option('json', None, 'Print JSON for scripts.')


class OperatorCommand(Command):
    """A command that prints tables for people or JSON for scripts."""

    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        try:
            return self.run_command()
        except KeyboardInterrupt:
            return StatusCode.INTERRUPTED

    @abstractmethod
    def run_command(self) -> StatusCode:
        """Do the command's work; errors of the tree may be raised."""

    @property
    def wants_json(self) -> bool:
        """Whether JSON is asked for."""
        return bool(self.option('json'))

    def print_json(self, report: object) -> None:
        """Print a model or plain data as JSON."""
        text = json.dumps(unstructure(report), indent=2, sort_keys=True)
        self.print_text(text)

    def print_text(self, text: str) -> None:
        """Print text as it is, without markup."""
        self.io.output.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Print text as it is to standard error."""
        self.io.error_output.write_line(text, type=Type.RAW)

    def print_table(
        self,
        headers: Iterable[str],
        rows: Iterable[Iterable[object]],
    ) -> None:
        """Print a table."""
        table = self.table(style='compact')
        table.set_headers([str(header) for header in headers])
        table.set_rows([[_escape(cell) for cell in row] for row in rows])
        table.render()


def _escape(cell: object) -> str:
    return Formatter.escape(str(cell))
