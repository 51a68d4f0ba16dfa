"""Exponential backoff with full jitter towards the platform."""

import random

from attrs import define, field

from dragonflyshift._internal.exceptions import PlatformError

FIRST_CEILING_SECONDS = 3.8
MAX_CEILING_SECONDS = 3.8
MISSING_CEILING_SECONDS = 2
STEADY_SHARE = 0.97


@define
class Backoff:
    """Choose how long to wait after each failure in a row.

    All daemons lose the service at the same moment. The first wait spreads
    them over its ceiling; later waits are nearly as long as that, so that
    they stay spread: full jitter would bunch them again. Thus 6,150 of them
    stay below 2,000 reads a second, and each one sees a change within 5 s
    after the service is back. A wait that the service names is a floor,
    with full jitter above it. A key that isn't published yet can't be
    watched: it is read again sooner, as few daemons wait for it.
    """

    rng: random.Random
    failures: int = field(default=0)

    def reset(self) -> None:
        """Take note of a success."""
        self.failures = 0

    def next_delay(self, exc: PlatformError | None = None) -> float:
        """Return the seconds to wait after one more failure."""
        if getattr(exc, 'is_missing', False):
            return self.rng.uniform(0, MISSING_CEILING_SECONDS)
        floor = float(getattr(exc, 'retry_after', 0))
        self.failures += 1
        if floor or self.failures == 1:
            return floor + self.rng.uniform(0, FIRST_CEILING_SECONDS)
        shortest = STEADY_SHARE * MAX_CEILING_SECONDS
        return self.rng.uniform(shortest, MAX_CEILING_SECONDS)
