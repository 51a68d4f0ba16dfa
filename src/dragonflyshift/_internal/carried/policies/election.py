"""Elects the daemons that read the store on behalf of all others.

Calls to the store are expensive and rate-limited, changes come in bursts, and
any daemon may lose its connection to the store while others still have one.
Two readers distribute what they read to all daemons; a daemon that has no
recent report of a working reader starts to read for itself.
"""

__all__ = ('ReaderElection',)

import random

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

WANTED_READERS = 2
# A balancer takes over after a random part of one of these delays, so that the
# daemons that miss a reader don't all start to read at the same time.
MISSING_READER_DELAY_S = 2.0
NO_READER_DELAY_S = 0.3
# A sidecar takes over only once its view has not been confirmed for this long,
# that is, when no balancer supplies it, and then after a random delay with this
# maximum.
SIDECAR_DELAY_S = 1.5


@define(eq=False, repr=False)
class ReaderElection:
    """Decides whether this daemon reads the store.

    If there are too many readers, the balancers with the lowest addresses keep
    reading and the others stop. A sidecar reads only while no other daemon
    does. If there are too few readers, a daemon starts to read after a random
    delay.
    """

    own_address: SocketAddress
    is_balancer: bool
    rng: random.Random
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
        if len(others) >= self._wanted_readers:
            self._takeover_at = None
            return False
        return self._is_takeover_due(now, view_age_s, is_urgent=not others)

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
        if self._takeover_at is None or (
            is_urgent and not self._is_takeover_urgent
        ):
            self._takeover_at = now + self.rng.random() * self._max_delay_s(
                is_urgent
            )
            self._is_takeover_urgent = is_urgent
        return now >= self._takeover_at

    def _max_delay_s(self, is_urgent: bool) -> float:
        if not self.is_balancer:
            return SIDECAR_DELAY_S
        return NO_READER_DELAY_S if is_urgent else MISSING_READER_DELAY_S
