"""The exit status of the command line for each kind of error."""

from cleo.exceptions import CleoError

from dragonflyshift._internal.cli.status_codes import StatusCode
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PeerError,
    SettingsError,
    WireError,
)

_STATUSES: tuple[tuple[type[Exception], StatusCode], ...] = (
    (ConfigurationError, StatusCode.INVALID_DECLARATION),
    (SettingsError, StatusCode.USAGE),
    (CleoError, StatusCode.USAGE),
    (PeerError, StatusCode.UNREACHABLE),
    (WireError, StatusCode.BAD_REPLY),
    (OSError, StatusCode.OUTPUT_FAILED),
)


def status_of(exc: Exception) -> StatusCode:
    """Return the exit status for an error."""
    for kind, status in _STATUSES:
        if isinstance(exc, kind):
            return status
    return StatusCode.INTERNAL
