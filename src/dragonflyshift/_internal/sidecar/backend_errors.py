"""Errors of the HTTP client for the backend server.

The class of an error states whether any byte of the request was written to
the socket, because only then may the backend server have run the request.
"""

__all__ = (
    'BackendBrokenError',
    'BackendUnreachableError',
    'ShortAnswerError',
)

from typing import ClassVar

from dragonflyshift._internal.exceptions import BackendError


class BackendUnreachableError(BackendError):
    """No byte of the request was written, so it has certainly not run."""

    written: ClassVar[bool] = False


class BackendBrokenError(BackendError):
    """The request was at least partly written, so the outcome is unknown."""

    written: ClassVar[bool] = True


class ShortAnswerError(BackendError):
    """The response body was truncated after the head was returned."""

    written: ClassVar[bool] = True
