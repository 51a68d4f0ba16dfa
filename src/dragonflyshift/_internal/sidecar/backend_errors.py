"""Errors of the client towards the backend server.

Each says by its class whether a byte of the request was written to the
socket, because only then may the backend server have run it.
"""

__all__ = (
    'BackendBrokenError',
    'BackendUnreachableError',
    'ShortAnswerError',
)

from typing import ClassVar

from dragonflyshift._internal.exceptions import BackendError


class BackendUnreachableError(BackendError):
    """No byte of the request was written: it certainly has not run."""

    written: ClassVar[bool] = False


class BackendBrokenError(BackendError):
    """The request was written at least in part: its outcome is unknown."""

    written: ClassVar[bool] = True


class ShortAnswerError(BackendError):
    """The answer was cut before its end; its head has been handed out."""

    written: ClassVar[bool] = True
