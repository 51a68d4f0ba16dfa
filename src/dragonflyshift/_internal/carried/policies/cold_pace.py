"""Rate limit for the new flows of a backend server that is cold.

It is for a third of the servers, or a whole data centre, that return during a
burst. A cold server is several times slower, but looks idle and gets the flows
that all balancers couldn't place elsewhere. It would take more than it can
serve, and most of these responses would be late.
"""

__all__ = ('ColdPace',)

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field

# A second, and a margin for the way to the server: a flow that is delivered
# late and the next ones that are delivered at once arrive closer together than
# they were sent.
WINDOW_S = 1.05


@define(eq=False, repr=False)
class ColdPace:
    """Limits the flows that a cold server gets in any window of a second.

    ``limit`` is the maximum number of flows in a window. It is in force until
    ``cold_until`` and may be fractional or infinite. A server of which it is
    not known what it got before gets no flow until ``closed_until``. Times
    are in seconds of the monotonic clock.
    """

    limit: float = field(default=float('inf'))
    cold_until: float = field(default=float('-inf'))
    closed_until: float = field(default=float('-inf'))
    _starts: deque[float] = field(factory=deque)

    @classmethod
    def after_starts(
        cls,
        now: float,
        starts: Iterable[float],
        known_since: float,
    ) -> 'ColdPace':
        """Return a limit that counts the flows of the last second.

        ``starts`` are the flows that the server has got after ``known_since``.
        What it got before counts as a full second.
        """
        pace = cls(closed_until=known_since + WINDOW_S)
        pace._starts.extend(sorted(starts))
        pace._drop_expired(now)
        return pace

    def is_open(self, now: float) -> bool:
        """Return whether the server may get one more flow now."""
        return now >= self.opens_at(now)

    def opens_at(self, now: float) -> float:
        """Return when the server may get the next flow, at the earliest."""
        if now >= self.cold_until:
            return now
        opens_at = max(now, self.closed_until)
        if len(self._starts) + 1 > self.limit:
            if self.limit < 1:
                return self.cold_until
            # This flow must have left the window when the next one starts.
            started_at = self._starts[-math.floor(self.limit)]
            opens_at = max(opens_at, started_at + WINDOW_S)
        return min(opens_at, self.cold_until)

    def record_start(self, now: float) -> None:
        """Count a flow whose first packet goes to the server."""
        self._drop_expired(now)
        self._starts.append(now)

    def _drop_expired(self, now: float) -> None:
        starts = self._starts
        while starts and now >= starts[0] + WINDOW_S:
            starts.popleft()
