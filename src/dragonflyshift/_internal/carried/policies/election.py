"""Elects the daemons that read the store on behalf of all others.

Calls to the store are expensive and rate-limited, changes come in bursts, and
any daemon may lose its connection to the store while others still have one.
Two readers distribute what they read to all daemons; a daemon that has no
recent report of a working reader starts to read for itself.

A reader that is cut off silently goes on to report that it reads. A balancer
therefore relies on no report, but on how long ago the store confirmed its view:
readers have it confirmed several times within the bound for a change, and a
balancer whose view gets too old reads the store itself.
"""

__all__ = ('ReaderElection', 'RefreshTimes')

import random

from attrs import define, field, frozen

from dragonflyshift._internal.carried.packet import SocketAddress

WANTED_READERS = 2
# A balancer takes over after a random part of one of these delays, so that the
# daemons that miss a reader don't all start to read at the same time.
MISSING_READER_DELAY_S = 2.0
# A sidecar takes over only once its view has not been confirmed for this long,
# that is, when no balancer supplies it, and then after a random delay with this
# maximum.
SIDECAR_DELAY_S = 1.5
# Parts of the bound for a change.
WATCH_PART = 0.3
MAX_AGE_PART = 0.45
TAKEOVER_PART = 0.08
MAX_WATCH_S = 2.5


@frozen(repr=False)
class RefreshTimes:
    """When views are confirmed and when balancers step in, in seconds.

    ``bound_s`` is the time within which a change must be in force at all
    balancers that reach the store, whichever other machines do not.

    Example:
        >>> times = RefreshTimes(bound_s=5)
        >>> times.watch_s, times.max_age_s, times.takeover_delay_s
        (1.5, 2.25, 0.4)
    """

    bound_s: float = 3.0

    @property
    def watch_s(self) -> float:
        """The time between two confirmations of a reader's view."""
        return min(MAX_WATCH_S, self.bound_s * WATCH_PART)

    @property
    def max_age_s(self) -> float:
        """The age of a view at which a balancer reads the store itself."""
        return self.bound_s * MAX_AGE_PART

    @property
    def takeover_delay_s(self) -> float:
        """The longest random delay of a balancer that steps in."""
        return self.bound_s * TAKEOVER_PART


@define(eq=False, repr=False)
class ReaderElection:
    """Decides whether this daemon reads the store.

    If there are too many readers, the balancers with the lowest addresses keep
    reading and the others stop. A sidecar reads only while no other daemon
    does. If there are too few readers, or its view is older than
    ``times.max_age_s``, a balancer starts to read after a random delay.
    """

    own_address: SocketAddress
    is_balancer: bool
    rng: random.Random
    times: RefreshTimes = field(factory=RefreshTimes)
    _takeover_at: float | None = field(default=None)
    _is_takeover_urgent: bool = field(default=False)

    def should_read(
        self,
        now: float,
        readers: list[SocketAddress],
        view_age_s: float,
        *,
        is_reading: bool,
    ) -> bool:
        """Return whether this daemon should read the store now.

        ``readers`` are the addresses of the readers that were reported
        recently. ``view_age_s`` is the time since the store confirmed this
        daemon's view, infinite as long as it has none.
        """
        others = [address for address in readers if address != self.own_address]
        if self.is_balancer and view_age_s == float('inf'):
            # A starting balancer has no view yet and must not depend on
            # other daemons to get one.
            return True
        if is_reading:
            return self._should_keep_reading(others)
        is_stale = self.is_balancer and view_age_s >= self.times.max_age_s
        if len(others) >= self._wanted_readers and not is_stale:
            self._takeover_at = None
            return False
        is_urgent = is_stale or not others
        return self._is_takeover_due(now, view_age_s, is_urgent=is_urgent)

    @property
    def _wanted_readers(self) -> int:
        return WANTED_READERS if self.is_balancer else 1

    def _should_keep_reading(self, others: list[SocketAddress]) -> bool:
        self._takeover_at = None
        if not self.is_balancer:
            return not others
        return (
            sum(address < self.own_address for address in others)
            < WANTED_READERS
        )

    def _is_takeover_due(
        self, now: float, view_age_s: float, *, is_urgent: bool
    ) -> bool:
        if not self.is_balancer and view_age_s < SIDECAR_DELAY_S:
            self._takeover_at = None
            return False
        if self._takeover_at is None or is_urgent != self._is_takeover_urgent:
            self._takeover_at = now + self.rng.random() * self._max_delay_s(
                is_urgent
            )
            self._is_takeover_urgent = is_urgent
        return now >= self._takeover_at

    def _max_delay_s(self, is_urgent: bool) -> float:
        if not self.is_balancer:
            return SIDECAR_DELAY_S
        if is_urgent:
            return self.times.takeover_delay_s
        return MISSING_READER_DELAY_S
