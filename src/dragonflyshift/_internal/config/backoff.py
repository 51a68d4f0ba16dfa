"""Waits between attempts at a platform that fails, with jitter."""

import random

from attrs import define, field

from dragonflyshift._internal.exceptions import PlatformError

FIRST_CEILING_SECONDS = 4
LATER_FLOOR_SECONDS = 3.75
LATER_CEILING_SECONDS = 4.75
MISSING_CEILING_SECONDS = 2


@define
class Backoff:
    """Choose how long to wait after each failure in a row.

    All daemons lose the service at the same moment. The first wait spreads
    6,150 of them below 2,000 reads a second. The later ones vary less: they
    keep the daemons apart, and each reads again within 5 s after the service
    has come back. Longer waits would ease the service no further than to
    what it takes, and hold back the changes. A wait that the service names is
    a floor, with the full jitter above it. A key that isn't published yet
    can't be watched: it is read again sooner, as few daemons wait for it.
    """

    rng: random.Random
    failures: int = field(default=0)

    @property
    def has_failed(self) -> bool:
        """Whether the last attempt failed."""
        return self.failures > 0

    def reset(self) -> None:
        """Take note of a success."""
        self.failures = 0

    def next_delay(self, exc: PlatformError | None = None) -> float:
        """Return the seconds to wait after one more failure."""
        if getattr(exc, 'is_missing', False):
            return self.rng.uniform(0, MISSING_CEILING_SECONDS)
        self.failures += 1
        floor = float(getattr(exc, 'retry_after', 0))
        if floor or self.failures == 1:
            return floor + self.rng.uniform(0, FIRST_CEILING_SECONDS)
        return self.rng.uniform(LATER_FLOOR_SECONDS, LATER_CEILING_SECONDS)
