"""Exit code of the command line for each type of error."""

from cleo.exceptions import CleoError

from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PeerError,
    SettingsError,
    WireError,
)

_EXIT_CODES: tuple[tuple[type[Exception], ExitCode], ...] = (
    (ConfigurationError, ExitCode.INVALID_DECLARATION),
    (SettingsError, ExitCode.USAGE),
    (CleoError, ExitCode.USAGE),
    (PeerError, ExitCode.UNREACHABLE),
    (WireError, ExitCode.BAD_REPLY),
    (OSError, ExitCode.OUTPUT_FAILED),
)


def exit_code_of(exc: Exception) -> ExitCode:
    """Return the exit code for an error; INTERNAL for unexpected ones."""
    for error_type, exit_code in _EXIT_CODES:
        if isinstance(exc, error_type):
            return exit_code
    return ExitCode.INTERNAL
