"""Baseline retries: at once, after any error and without a budget."""

import random

from dragonflyshift._internal.models import OutcomeKind
from dragonflyshift._internal.retries import RetryPolicy


class RetryAnyError(RetryPolicy, name='any-error'):
    """Allows every retry without a delay."""

    def __init__(self, ratio: float, rng: random.Random) -> None:
        """Ignore the retry ratio and the random generator."""

    def change_ratio(self, ratio: float) -> None:
        """Ignore the new retry ratio."""

    def deposit(self, now: float) -> None:
        """Ignore a first attempt, because there is no retry budget."""

    def withdraw(self, now: float) -> bool:
        """Return True, because there is no retry budget."""
        return True

    def is_retryable(self, kind: OutcomeKind, *, idempotent: bool) -> bool:
        """Return True for every kind of outcome."""
        return True

    def backoff(self, attempt: int) -> float:
        """Return a delay of 0 seconds."""
        return 0
