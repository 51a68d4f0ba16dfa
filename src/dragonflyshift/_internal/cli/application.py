"""The operators' command line as a whole."""

import importlib
import sys
import traceback
from collections.abc import Callable, Sequence
from functools import partial

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.loaders.factory_command_loader import FactoryCommandLoader

import dragonflyshift
from dragonflyshift._internal.cli.errors import format_error
from dragonflyshift._internal.cli.exit_status import status_of
from dragonflyshift._internal.cli.overview import (
    asks_for_overview,
    build_overview,
)
from dragonflyshift._internal.cli.status_codes import StatusCode

NAME = 'dragonflyshift'
COMMANDS = {
    'check': 'CheckCommand',
    'plan': 'PlanCommand',
    'render': 'RenderCommand',
    'status': 'StatusCommand',
    'route': 'RouteCommand',
}
_PACKAGE = 'dragonflyshift._internal.commands'


def build_application() -> Application:
    """Return the application; each command is imported when it is used."""
    application = Application(NAME, dragonflyshift.__version__)
    factories: dict[str, Callable[[], Command]] = {
        name: partial(_load_command, name) for name in COMMANDS
    }
    application.set_command_loader(FactoryCommandLoader(factories))
    application.auto_exits(auto_exits=False)
    application.catch_exceptions(catch_exceptions=False)
    return application


def run(argv: Sequence[str] | None = None) -> int:
    """Run one command and return the exit status; errors go to stderr."""
    words = list(sys.argv[1:] if argv is None else argv)
    if asks_for_overview(words):
        print(build_overview(NAME, map(_load_command, COMMANDS)), end='')
        return StatusCode.OK
    try:
        return build_application().run(ArgvInput([NAME, *words]))
    except Exception as exc:
        status = status_of(exc)
        if status is StatusCode.INTERNAL:
            traceback.print_exc()
        else:
            print(_describe(exc), file=sys.stderr)
        return status


def _describe(exc: Exception) -> str:
    text = format_error(exc)
    if isinstance(exc, CleoError):
        return f'{text}\n  hint: run {NAME} help, or add --help to a command'
    return text


def _load_command(name: str) -> Command:
    module = importlib.import_module(f'{_PACKAGE}.{name}')
    command: type[Command] = getattr(module, COMMANDS[name])
    return command()
