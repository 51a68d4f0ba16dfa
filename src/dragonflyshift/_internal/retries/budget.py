"""A token bucket that limits retries to a ratio of first attempts."""

import random

from dragonflyshift._internal.retries.base import RetryPolicy

MIN_TOKENS_PER_SECOND = 0.2
MAX_TOKENS = 10.0
INITIAL_TOKENS = 1.0
BASE_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MAX_DOUBLINGS = 16


class RetryBudget(RetryPolicy, name='budget'):
    """A retry budget in proportion to the first attempts.

    Each first attempt adds ``ratio`` tokens and each second adds
    ``MIN_TOKENS_PER_SECOND``, so that a service with little traffic can
    retry, too; a retry takes one token. The bucket is bounded, so that a long
    period without failures doesn't allow a retry storm later. A ratio of
    zero disables retries.
    """

    def __init__(self, ratio: float, rng: random.Random) -> None:
        """Allow ``ratio`` retries for each first attempt."""
        self._ratio = ratio
        self._rng = rng
        self._tokens = INITIAL_TOKENS
        self._refilled_at: float | None = None

    def change_ratio(self, ratio: float) -> None:
        """Change the ratio; tokens already in the bucket stay."""
        self._ratio = ratio

    def deposit(self, now: float) -> None:
        """Record a first attempt."""
        self._refill(now)
        self._tokens = min(MAX_TOKENS, self._tokens + self._ratio)

    def withdraw(self, now: float) -> bool:
        """Use one retry of the budget; return False if none is left."""
        self._refill(now)
        if self._ratio <= 0 or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff(self, attempt: int) -> float:
        """Return the seconds to wait before retry number ``attempt``.

        Exponential backoff with full jitter: the time is uniformly
        distributed between zero and a limit that doubles with each retry, so
        that requests which failed at the same time aren't retried together.
        """
        doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
        longest = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2**doublings)
        return self._rng.uniform(0, longest)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            elapsed = max(0, now - self._refilled_at)
            grown = self._tokens + elapsed * MIN_TOKENS_PER_SECOND
            self._tokens = min(MAX_TOKENS, grown)
        self._refilled_at = now
