"""Errors of requests without a complete response from a backend server.

The outcome is "not run" only if no byte of the request was written to a
backend server, or if the backend server reports it; otherwise it is unknown.
"""

from dragonflyshift._internal.exceptions import SidecarError
from dragonflyshift._internal.models import OutcomeKind


class RunFailedError(SidecarError):
    """An attempt failed; ``kind`` says whether the request may have run."""

    def __init__(
        self,
        kind: OutcomeKind,
        reason: str,
        retry_after: float = 1.0,
    ) -> None:
        """Set the outcome and the seconds after which to retry."""
        super().__init__(reason, context=str(kind))
        self.kind = kind
        self.reason = reason
        self.retry_after = retry_after


class RequestTimeoutError(RunFailedError):
    """The deadline of the request passed before it completed."""

    def __init__(self) -> None:
        """Report the outcome as unknown."""
        super().__init__(OutcomeKind.UNKNOWN, 'the deadline passed')


class NotRunError(RunFailedError):
    """The request was refused and has certainly not run."""

    def __init__(self, reason: str, retry_after: float = 1.0) -> None:
        """Set the reason and the seconds after which to retry."""
        super().__init__(OutcomeKind.NOT_RUN, reason, retry_after)


class NotReachedError(NotRunError):
    """The backend server is unreachable, so it has done no work."""

    def __init__(self) -> None:
        """Report the backend server as unreachable."""
        super().__init__('the backend server is unreachable')
