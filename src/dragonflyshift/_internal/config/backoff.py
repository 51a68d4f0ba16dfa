"""Randomized delays between failed requests to the platform."""

import random

from attrs import define, field

from dragonflyshift._internal.exceptions import PlatformError

FIRST_MAX_DELAY_SECONDS = 4
LATER_MIN_DELAY_SECONDS = 3.75
LATER_MAX_DELAY_SECONDS = 4.75
MISSING_KEY_MAX_DELAY_SECONDS = 2


@define
class Backoff:
    """Choose the delay after each consecutive failure.

    All daemons lose the service at the same moment. The first delay spreads
    6,150 daemons so that they make fewer than 2,000 reads a second. Later
    delays vary less: the daemons stay spread out, and each one reads again
    within 5 s after the service recovers. Longer delays are not needed to
    stay below the rate that the service accepts, and would only delay
    configuration changes.

    A Retry-After value is the minimum delay, and the full jitter is added to
    it. A key that isn't published yet can't be watched. It is read again
    sooner, because few daemons wait for such a key.
    """

    rng: random.Random
    failures: int = field(default=0)

    @property
    def has_failed(self) -> bool:
        """Whether the last attempt failed."""
        return self.failures > 0

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self.failures = 0

    def next_delay(self, exc: PlatformError | None = None) -> float:
        """Return the seconds to wait after one more failure."""
        if getattr(exc, 'is_missing', False):
            return self.rng.uniform(0, MISSING_KEY_MAX_DELAY_SECONDS)
        self.failures += 1
        min_delay = float(getattr(exc, 'retry_after', 0))
        if min_delay or self.failures == 1:
            return min_delay + self.rng.uniform(0, FIRST_MAX_DELAY_SECONDS)
        return self.rng.uniform(
            LATER_MIN_DELAY_SECONDS, LATER_MAX_DELAY_SECONDS
        )
