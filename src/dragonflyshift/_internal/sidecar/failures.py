"""How a request ends when it gets no whole answer from a backend server.

"Not run" is claimed only when no byte of the request was written to a
backend server; everything else is unknown.
"""

from dragonflyshift._internal.exceptions import SidecarError
from dragonflyshift._internal.models import OutcomeKind


class RunFailedError(SidecarError):
    """An attempt failed; ``kind`` says whether it may have run."""

    def __init__(
        self,
        kind: OutcomeKind,
        reason: str,
        retry_after: float = 1.0,
    ) -> None:
        """Keep the seconds after which the caller may come back."""
        super().__init__(reason, context=str(kind))
        self.kind = kind
        self.reason = reason
        self.retry_after = retry_after


class RequestTimeoutError(RunFailedError):
    """The deadline passed while the request ran."""

    def __init__(self) -> None:
        """Count the outcome as unknown."""
        super().__init__(OutcomeKind.UNKNOWN, 'the deadline passed')


class NotRunError(RunFailedError):
    """The request was refused and truly has not run."""

    def __init__(self, reason: str, retry_after: float = 1.0) -> None:
        """Say why, and when to come back."""
        super().__init__(OutcomeKind.NOT_RUN, reason, retry_after)


class NotReachedError(NotRunError):
    """The backend server could not be reached, so it spent nothing."""

    def __init__(self) -> None:
        """Say that it is unreachable."""
        super().__init__('the backend server is unreachable')
