"""Who reads the store, so that a few calls serve all.

The load pattern: calls to the store are dear and limited, changes come in
bursts, and any daemon may lose the store while others still reach it. Two
readers tell all others; who hears of no working reader reads for itself.
"""

__all__ = ('ReaderElection',)

import random

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

READERS = 2
# A random wait before stepping in, so that not all daemons step in at once.
SPARE_DELAY_S = 2.0
URGENT_DELAY_S = 0.3
# Sidecars step in only when no balancer tells them anything.
SIDECAR_DELAY_S = 1.5


@define(eq=False, repr=False)
class ReaderElection:
    """Decide whether this daemon reads the store.

    The first readers in address order go on, the others stop. A daemon that
    is missing one steps in after a random wait.
    """

    own: SocketAddress
    is_balancer: bool
    rng: random.Random
    _due_at: float | None = field(default=None)
    _is_urgent: bool = field(default=False)

    def should_read(
        self,
        now: float,
        readers: list[SocketAddress],
        age_s: float,
        *,
        is_reading: bool,
    ) -> bool:
        """Tell whether to read, given the readers heard of lately.

        ``age_s`` is the age of this daemon's own view.
        """
        others = [pair for pair in readers if pair != self.own]
        if self.is_balancer and age_s == float('inf'):
            # Nothing is known yet: a start must not wait for others.
            return True
        if is_reading:
            return self._keeps_reading(others)
        if len(others) >= self._readers_wanted:
            self._due_at = None
            return False
        return self._is_due(now, age_s, is_urgent=not others)

    @property
    def _readers_wanted(self) -> int:
        return READERS if self.is_balancer else 1

    def _keeps_reading(self, others: list[SocketAddress]) -> bool:
        self._due_at = None
        if not self.is_balancer:
            return not others
        return sum(pair < self.own for pair in others) < READERS

    def _is_due(self, now: float, age_s: float, *, is_urgent: bool) -> bool:
        if not self.is_balancer and age_s < SIDECAR_DELAY_S:
            self._due_at = None
            return False
        if self._due_at is None or (is_urgent and not self._is_urgent):
            self._due_at = now + self.rng.random() * self._delay(is_urgent)
            self._is_urgent = is_urgent
        return now >= self._due_at

    def _delay(self, is_urgent: bool) -> float:
        if not self.is_balancer:
            return SIDECAR_DELAY_S
        return URGENT_DELAY_S if is_urgent else SPARE_DELAY_S
