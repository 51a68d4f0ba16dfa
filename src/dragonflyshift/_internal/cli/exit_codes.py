"""Exit codes of the command line and the daemon."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the programs.

    The numbers are part of the public interface and do not change.
    """

    OK = 0
    FAILURE = 1
    INVALID_DECLARATION = 1
    USAGE = 2
    UNREACHABLE = 3
    BAD_REPLY = 4
    OUTPUT_FAILED = 5
    INTERNAL = 70
    INTERRUPTED = 130
