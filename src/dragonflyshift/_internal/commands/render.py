"""The command ``render``."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from dragonflyshift._internal.cli.command import JSON_OPTION, OperatorCommand
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.config.declaration import load_declaration
from dragonflyshift._internal.config.rendering import (
    read_published,
    render_declaration,
    write_documents,
)
from dragonflyshift._internal.models.rendering import RenderedDocument


class RenderCommand(OperatorCommand):
    """Writes the documents that the platform publishes."""

    name = 'render'
    description = 'Write the documents that the platform publishes.'
    help = (
        'Checks a declaration and writes the index and one document for each '
        'service to OUTPUT, each to a file named after its key. With '
        '--previous, a document that did not change keeps its version, so '
        'that daemons read only changed documents; the directory may be '
        'OUTPUT itself. If there are many services, bundles hold copies of '
        'their documents for daemons that have to read many. Publish the '
        'services first, then the bundles, and the index last.\n\n'
        'Exit status: 0 when written, 1 when the declaration is invalid or '
        'its revision has to be raised, 5 when a file can not be written.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('output', 'Directory to write to.'),
    ]
    options: ClassVar[list[Option]] = [
        option(
            'declaration',
            'd',
            'Directory of inventory.toml and rules.toml.',
            flag=False,
            default='.',
        ),
        option(
            'previous',
            'p',
            'Directory of the rendering that is currently published.',
            flag=False,
        ),
        option(
            'no-bundles',
            None,
            'Write no bundles, for daemons without support for them.',
        ),
        JSON_OPTION,
    ]

    def run_command(self) -> ExitCode:
        """Render and write the documents."""
        declaration = load_declaration(Path(self.option('declaration')))
        previous_directory = self.option('previous')
        previous = (
            read_published(Path(previous_directory))
            if previous_directory
            else None
        )
        documents = render_declaration(
            declaration,
            previous,
            with_bundles=not self.option('no-bundles'),
        )
        write_documents(Path(self.argument('output')), documents)
        self._print_documents(documents)
        return ExitCode.OK

    def _print_documents(self, documents: tuple[RenderedDocument, ...]) -> None:
        rows = [
            {
                'key': document.key,
                'version': document.version,
                'changed': document.is_changed,
                'bytes': len(document.raw),
            }
            for document in documents
        ]
        if self.wants_json:
            self.print_json(rows)
            return
        self.print_table(
            ('key', 'version', 'changed', 'bytes'),
            (row.values() for row in rows),
        )
