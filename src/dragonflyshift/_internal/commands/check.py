"""The command ``check``."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from dragonflyshift._internal.cli.command import OperatorCommand
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.config.declaration import load_declaration
from dragonflyshift._internal.config.faults import InvalidConfigurationError
from dragonflyshift._internal.config.rendering import render_declaration
from dragonflyshift._internal.models.checks import CheckReport, ServiceSummary
from dragonflyshift._internal.models.declaration import Declaration
from dragonflyshift._internal.models.documents import ServiceDocument


class CheckCommand(OperatorCommand):
    """Validates a declaration and reports every fault."""

    name = 'check'
    description = 'Check the inventory and the rules of a declaration.'
    help = (
        'Reads inventory.toml and rules.toml of a directory and reports every '
        'fault with its file, key, message and hint.\n\n'
        'Exit status: 0 when valid, 1 when invalid.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument(
            'declaration',
            'Directory of inventory.toml and rules.toml.',
            optional=True,
            default='.',
        ),
    ]

    def run_command(self) -> ExitCode:
        """Check the declaration and print its faults or a summary."""
        try:
            declaration = load_declaration(Path(self.argument('declaration')))
        except InvalidConfigurationError as exc:
            self._print_faults(exc)
            return ExitCode.INVALID_DECLARATION
        # Rendering raises an error if a document exceeds the platform's limit.
        render_declaration(declaration)
        self._print_summary(declaration)
        return ExitCode.OK

    def _print_faults(self, exc: InvalidConfigurationError) -> None:
        if self.wants_json:
            self.print_json(CheckReport(is_valid=False, faults=exc.faults))
        for fault in exc.faults:
            location = ': '.join(filter(None, (fault.source, fault.key)))
            self.print_error(f'error: {location}: {fault.message}')
            if fault.hint:
                self.print_error(f'  hint: {fault.hint}')
        self.print_error(f'{exc.context}: {len(exc.faults)} faults')

    def _print_summary(self, declaration: Declaration) -> None:
        summaries = tuple(
            _summarize(document) for document in declaration.services
        )
        if self.wants_json:
            self.print_json(
                CheckReport(
                    is_valid=True,
                    revision=declaration.revision,
                    services=summaries,
                ),
            )
            return
        self.print_table(
            ('service', 'organisation', 'state', 'endpoints', 'slots'),
            (
                (
                    summary.name,
                    summary.organisation,
                    summary.state,
                    summary.endpoints,
                    summary.slots,
                )
                for summary in summaries
            ),
        )
        self.print_text(f'revision {declaration.revision} is valid')


def _summarize(document: ServiceDocument) -> ServiceSummary:
    return ServiceSummary(
        name=document.name,
        organisation=document.organisation,
        state=document.state,
        endpoints=len(document.endpoints),
        slots=sum(endpoint.slots for endpoint in document.endpoints),
    )
