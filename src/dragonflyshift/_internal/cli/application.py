"""Entry point of the operators' command line."""

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
from dragonflyshift._internal.cli.error_exit_codes import exit_code_of
from dragonflyshift._internal.cli.errors import format_error
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.cli.help import (
    build_help,
    is_help_requested,
)

NAME = 'dragonflyshift'
COMMANDS = {
    'check': 'CheckCommand',
    'plan': 'PlanCommand',
    'render': 'RenderCommand',
    'evacuate': 'EvacuateCommand',
    'restore': 'RestoreCommand',
    'status': 'StatusCommand',
    'route': 'RouteCommand',
}
_PACKAGE = 'dragonflyshift._internal.commands'


def build_application() -> Application:
    """Return the application, which imports each command on first use."""
    application = Application(NAME, dragonflyshift.__version__)
    factories: dict[str, Callable[[], Command]] = {
        name: partial(_load_command, name) for name in COMMANDS
    }
    application.set_command_loader(FactoryCommandLoader(factories))
    application.auto_exits(auto_exits=False)
    application.catch_exceptions(catch_exceptions=False)
    return application


def run(argv: Sequence[str] | None = None) -> int:
    """Run one command and return the exit code.

    Errors are printed to stderr, unexpected ones with a traceback.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    if is_help_requested(arguments):
        print(build_help(NAME, map(_load_command, COMMANDS)), end='')
        return ExitCode.OK
    try:
        return build_application().run(ArgvInput([NAME, *arguments]))
    except Exception as exc:
        exit_code = exit_code_of(exc)
        if exit_code is ExitCode.INTERNAL:
            traceback.print_exc()
        else:
            print(_format_with_usage(exc), file=sys.stderr)
        return exit_code


def _format_with_usage(exc: Exception) -> str:
    text = format_error(exc)
    if isinstance(exc, CleoError):
        return f'{text}\n  hint: run {NAME} help, or add --help to a command'
    return text


def _load_command(name: str) -> Command:
    module = importlib.import_module(f'{_PACKAGE}.{name}')
    command: type[Command] = getattr(module, COMMANDS[name])
    return command()
