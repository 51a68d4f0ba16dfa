"""Exit statuses of both programs."""

import enum


class StatusCode(enum.IntEnum):
    """What a program's exit status means; the numbers are stable."""

    OK = 0
    FAILURE = 1
    INVALID_DECLARATION = 1
    USAGE = 2
    UNREACHABLE = 3
    BAD_REPLY = 4
    OUTPUT_FAILED = 5
    INTERNAL = 70
    INTERRUPTED = 130
