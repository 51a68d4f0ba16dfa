"""A token bucket that bounds retries to a share of first attempts."""

import random

from dragonflyshift._internal.retries.base import RetryPolicy

FLOOR_PER_SECOND = 0.2
BUCKET_TOKENS = 10.0
FIRST_TOKENS = 1.0
BASE_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MAX_DOUBLINGS = 16


class Budget(RetryPolicy, name='budget'):
    """Allow a ratio of the first attempts, and a few retries when idle.

    Each first attempt adds ``ratio`` tokens and each second a small floor,
    so that a quiet service may retry too; a retry takes one token. The
    bucket is bounded: a long healthy time doesn't pay for a storm. A ratio
    of zero turns retries off.
    """

    def __init__(self, ratio: float, rng: random.Random) -> None:
        """Allow ``ratio`` retries for each first attempt."""
        self._ratio = ratio
        self._rng = rng
        self._tokens = FIRST_TOKENS
        self._refilled_at: float | None = None

    def retune(self, ratio: float) -> None:
        """Apply a changed ratio; what was saved up stays."""
        self._ratio = ratio

    def deposit(self, now: float) -> None:
        """Take note of a first attempt."""
        self._refill(now)
        self._tokens = min(BUCKET_TOKENS, self._tokens + self._ratio)

    def withdraw(self, now: float) -> bool:
        """Take one retry from the budget; False when it is spent."""
        self._refill(now)
        if self._ratio <= 0 or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff(self, attempt: int) -> float:
        """Return the seconds to wait before retry ``attempt`` (from 1).

        Full jitter: evenly spread from zero to a limit that doubles with
        each attempt, so that clients which failed together come back apart.
        """
        doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
        longest = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2**doublings)
        return self._rng.uniform(0, longest)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            elapsed = max(0, now - self._refilled_at)
            grown = self._tokens + elapsed * FLOOR_PER_SECOND
            self._tokens = min(BUCKET_TOKENS, grown)
        self._refilled_at = now
