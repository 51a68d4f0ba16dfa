"""Abstract base for retry policies."""

import random
from abc import abstractmethod

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.models import OutcomeKind


class RetryPolicy(Plugin, kind='retry-policy'):
    """Decide whether and when an attempt that failed is made again."""

    @abstractmethod
    def __init__(self, ratio: float, rng: random.Random) -> None:
        """Allow ``ratio`` retries for each first attempt."""

    @abstractmethod
    def retune(self, ratio: float) -> None:
        """Apply a changed rule."""

    @abstractmethod
    def deposit(self, now: float) -> None:
        """Take note of a first attempt."""

    def allows(self, kind: OutcomeKind, *, idempotent: bool) -> bool:
        """Tell whether another attempt is safe after a failure.

        It is if nothing ran, or if running twice does no harm.
        """
        return kind is OutcomeKind.NOT_RUN or idempotent

    @abstractmethod
    def withdraw(self, now: float) -> bool:
        """Take one retry from the budget; False when it is spent."""

    @abstractmethod
    def backoff(self, attempt: int) -> float:
        """Return the seconds to wait before retry ``attempt`` (from 1)."""
