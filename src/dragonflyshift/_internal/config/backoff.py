"""Exponential backoff with full jitter towards the platform."""

import random

from attrs import define, field

from dragonflyshift._internal.exceptions import PlatformError

FIRST_CEILING_SECONDS = 4
MISSING_CEILING_SECONDS = 2
MAX_CEILING_SECONDS = 8


@define
class Backoff:
    """Choose how long to wait after each failure in a row.

    All daemons lose the service at the same moment. The first ceiling is
    therefore large enough to spread 6,150 of them below 2,000 reads a
    second, and a wait that the service names is a floor, with the same
    jitter above it. A key that isn't published yet can't be watched: it is
    read again sooner, as few daemons wait for it.
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
        doubled = FIRST_CEILING_SECONDS * 2 ** min(self.failures, 4)
        self.failures += 1
        ceiling = min(doubled, MAX_CEILING_SECONDS)
        floor = float(getattr(exc, 'retry_after', 0))
        return floor + self.rng.uniform(0, ceiling)
