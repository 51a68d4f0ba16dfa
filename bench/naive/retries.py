"""Naive retries: at once, on any error, without a budget."""

import random

from dragonflyshift._internal.models import OutcomeKind
from dragonflyshift._internal.retries import RetryPolicy


class AnyError(RetryPolicy, name='any-error'):
    """Allow every retry."""

    def __init__(self, ratio: float, rng: random.Random) -> None:
        """Ignore the ratio."""

    def change_ratio(self, ratio: float) -> None:
        """Ignore the ratio."""

    def deposit(self, now: float) -> None:
        """Keep no count of first attempts."""

    def withdraw(self, now: float) -> bool:
        """Allow the retry."""
        return True

    def is_retryable(self, kind: OutcomeKind, *, idempotent: bool) -> bool:
        """Retry whatever may have happened."""
        return True

    def backoff(self, attempt: int) -> float:
        """Return no wait."""
        return 0
