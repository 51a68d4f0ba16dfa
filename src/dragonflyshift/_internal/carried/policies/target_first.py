"""New carried flows wait until their clients give up, in-time ones first.

The load pattern: a crowd that returns after an outage, where a late answer
is worth nearly as much as one in time. Nobody is refused who may still be
served, and those that can meet their latency target go before the others.
"""

__all__ = ('TargetFirst',)

import enum

from dragonflyshift._internal.carried.policies.openings import (
    MAX_WAIT_MS,
    OVERCOMMIT,
    InTimeOnly,
    Opening,
    OpeningVerdict,
)

# Mean service times that must be left before a latency target for a flow to
# count as in time; service times vary by about half of their mean.
TARGET_MARGIN = 2.0
# With less than this share of a mean service time left there is no chance.
CHANCE_MARGIN = 0.5


class _Chance(enum.IntEnum):
    """The chance of a flow to meet its latency target."""

    GOOD = 0
    SLIGHT = 1
    NONE = 2


class TargetFirst(InTimeOnly, name='target-first'):
    """Those that can meet their target first, those with no chance last."""

    def offer(
        self,
        now: float,
        opening: Opening,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> OpeningVerdict:
        """Decide on a new flow; it is kept when the verdict is to wait."""
        is_idle = not self._waiting and busy < slots
        if is_idle:
            return OpeningVerdict.START
        if not opening.is_last:
            # Another server may be idle, and asking it takes a round trip.
            return OpeningVerdict.REFUSE
        if not self._waiting and busy < slots + OVERCOMMIT:
            return OpeningVerdict.START
        ahead = busy + self._before(now, opening, service_ms) + 1 - slots
        wait_ms = max(0, ahead) * service_ms / max(1, slots)
        total_ms = opening.age_ms(now) + wait_ms
        if total_ms > self._limit_ms(opening, service_ms):
            return OpeningVerdict.REFUSE
        self._waiting[opening.key] = opening
        return OpeningVerdict.WAIT

    def next_ready(
        self,
        now: float,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> Opening | None:
        """Remove and return the flow that shall start, if a slot is free."""
        if not self._waiting or busy >= slots + OVERCOMMIT:
            return None
        chosen = min(
            self._waiting.values(),
            key=lambda opening: _rank(now, opening, service_ms),
        )
        return self._waiting.pop(chosen.key)

    def expire(self, now: float, service_ms: float) -> list[Opening]:
        """Remove and return the flows that can no longer be served."""
        late = [
            opening
            for opening in self._waiting.values()
            if opening.age_ms(now) > self._limit_ms(opening, service_ms)
        ]
        for opening in late:
            self.discard(opening.key)
        return late

    def _before(
        self,
        now: float,
        opening: Opening,
        service_ms: float,
    ) -> int:
        """Count the waiting flows that would start before this one."""
        rank = _rank(now, opening, service_ms)
        return sum(
            _rank(now, other, service_ms) <= rank
            for other in self._waiting.values()
        )

    def _limit_ms(self, opening: Opening, service_ms: float) -> float:
        return min(MAX_WAIT_MS, opening.timeout_ms - service_ms)


def _rank(
    now: float,
    opening: Opening,
    service_ms: float,
) -> tuple[_Chance, int, float]:
    """Order flows by their chance, then by priority, then by age.

    Among those that may just make it the youngest has the best chance. The
    others of one kind go in order of arrival.
    """
    age_ms = opening.age_ms(now)
    left_ms = opening.target_ms - age_ms
    if left_ms >= TARGET_MARGIN * service_ms:
        return (_Chance.GOOD, opening.priority, -age_ms)
    if left_ms >= CHANCE_MARGIN * service_ms:
        return (_Chance.SLIGHT, opening.priority, age_ms)
    return (_Chance.NONE, opening.priority, -age_ms)
