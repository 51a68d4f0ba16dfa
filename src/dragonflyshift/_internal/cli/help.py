"""Help text of the command line as a whole."""

from collections.abc import Iterable, Sequence

from cleo.commands.command import Command

_HELP_ARGUMENTS = frozenset(('--help', '-h', 'help'))
_TEXT = """\
Declare services, publish the declaration and look at running daemons.

Usage:
  {name} COMMAND [options] [arguments]
  {name} COMMAND --help

Commands:
{commands}

A change goes through check, plan and render; then the rendered documents are
published. evacuate and restore make the change for a data centre. status and
route ask a running daemon. The help of a command tells its arguments, its
options and its exit status.

Options of every command:
  -h, --help     Describe the command.
  -V, --version  Print the version.
      --json     Print JSON for scripts.
"""


def is_help_requested(arguments: Sequence[str]) -> bool:
    """Return whether the arguments request help without a command."""
    return _HELP_ARGUMENTS.issuperset(arguments) and len(arguments) <= 1


def build_help(name: str, commands: Iterable[Command]) -> str:
    """Return the help text with the usage and a line for each command."""
    described = {each.name or '': each.description for each in commands}
    width = max(map(len, described))
    lines = (
        f'  {command:{width}}  {text}' for command, text in described.items()
    )
    return _TEXT.format(name=name, commands='\n'.join(lines))
