"""Abstract base class of retry policies."""

import random
from abc import abstractmethod

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.models import OutcomeKind


class RetryPolicy(Plugin, kind='retry-policy'):
    """Decides whether and when a failed attempt is retried.

    Times are seconds of a monotonic clock and are passed in by the caller.
    """

    @abstractmethod
    def __init__(self, ratio: float, rng: random.Random) -> None:
        """Allow ``ratio`` retries for each first attempt."""

    @abstractmethod
    def change_ratio(self, ratio: float) -> None:
        """Change the number of retries allowed per first attempt."""

    @abstractmethod
    def deposit(self, now: float) -> None:
        """Record a first attempt."""

    def is_retryable(self, kind: OutcomeKind, *, idempotent: bool) -> bool:
        """Return whether a retry is safe after a failure of this kind.

        It is if the request has not run, or if it is idempotent.
        """
        return kind is OutcomeKind.NOT_RUN or idempotent

    @abstractmethod
    def withdraw(self, now: float) -> bool:
        """Use one retry of the budget; return False if none is left."""

    @abstractmethod
    def backoff(self, attempt: int) -> float:
        """Return the seconds to wait before retry number ``attempt``.

        The first retry is number 1.
        """
