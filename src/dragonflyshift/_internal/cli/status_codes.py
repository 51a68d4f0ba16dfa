"""Exit statuses of both programs."""

import enum


class StatusCode(enum.IntEnum):
    """What a program's exit status means; the numbers are stable."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    UNREACHABLE = 3
