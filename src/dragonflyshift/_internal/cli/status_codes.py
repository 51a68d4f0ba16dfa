"""Exit statuses of the operators' command line; they never change."""

import enum

from cleo.exceptions import CleoError

from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PeerError,
    SettingsError,
    WireError,
)


class StatusCode(enum.IntEnum):
    """What a command's exit status says."""

    OK = 0
    INVALID_DECLARATION = 1
    USAGE = 2
    UNREACHABLE = 3
    BAD_REPLY = 4
    OUTPUT_FAILED = 5
    INTERNAL = 70
    INTERRUPTED = 130


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
