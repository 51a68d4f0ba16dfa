"""How new carried flows wait for a slot, and when they are refused.

The load pattern: a crowd that returns after many servers were lost, or 1.7
times the usual load, before servers with one to four slots. When all may wait,
everybody's wait grows to the latency target and most answers come just too
late. Here a flow's first packet waits only if its answer is predicted within
the target; all others are refused at once, while their clients can still be
served elsewhere. And it waits only where it was sent for good: a busy server
passes it on while the balancer believes that another one is idle.
"""

__all__ = (
    'MAX_WAIT_MS',
    'OVERCOMMIT',
    'InTimeOnly',
    'Opening',
    'OpeningPolicy',
    'OpeningVerdict',
)

import enum
from abc import abstractmethod

from attrs import define, field

from dragonflyshift._internal.kernel.registry import Plugin

# Clients repeat a first packet for 1.4 s; an answer needs some of it.
MAX_WAIT_MS = 1200.0
# Mean service times that are left for the answer when a flow is
# predicted to start, by its priority; the last one holds for all lower ones.
# Less urgent flows leave room for urgent ones that come after them.
ANSWER_MARGINS = (1.0, 1.0, 1.5)
LOWEST_PRIORITY = len(ANSWER_MARGINS) - 1
# Mean service times before the target below which time is tight; service
# times vary by about half of their mean.
SPARE_MARGIN = 2.0
# With less than a service time left more than half of the answers are late.
CHANCE_MARGIN = 1.0
# Flows beyond the slots that are let through, so that a server doesn't idle
# for the round trip between two requests.
OVERCOMMIT = 1


class OpeningVerdict(enum.Enum):
    """What becomes of a new flow."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


@define(eq=False, repr=False)
class Opening:
    """A new flow that asks for a slot.

    ``arrived_at`` is monotonic seconds, ``waited_ms`` the time that it spent
    at other places before. Priority 0 is the highest.
    """

    key: bytes
    raw: bytes
    arrived_at: float
    target_ms: float
    timeout_ms: float
    priority: int
    waited_ms: float = 0
    is_last: bool = False
    sender: tuple[str, int] = field(default=('', 0))

    def age_ms(self, now: float) -> float:
        """Return the time since the first packet came in."""
        return self.waited_ms + (now - self.arrived_at) * 1000


class OpeningPolicy(Plugin, kind='opening-policy'):
    """Admit new flows to the slots of one backend server."""

    @property
    @abstractmethod
    def waiting(self) -> int:
        """Return the flows that wait."""

    @abstractmethod
    def offer(
        self,
        now: float,
        opening: Opening,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> OpeningVerdict:
        """Decide on a new flow; it is kept when the verdict is to wait."""

    @abstractmethod
    def next_ready(
        self,
        now: float,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> Opening | None:
        """Remove and return the flow that shall start, if a slot is free."""

    @abstractmethod
    def expire(self, now: float, service_ms: float) -> list[Opening]:
        """Remove and return the flows that can no longer be served."""

    @abstractmethod
    def clear(self) -> list[Opening]:
        """Remove and return all flows that wait."""

    @abstractmethod
    def discard(self, key: bytes) -> None:
        """Remove a flow if it waits."""

    @abstractmethod
    def holds(self, key: bytes) -> bool:
        """Tell whether a flow waits."""


class InTimeOnly(OpeningPolicy, name='in-time-only'):
    """Only flows that can meet their latency target wait.

    A flow that is late already still starts where a slot is free.
    """

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._waiting: dict[bytes, Opening] = {}

    @property
    def waiting(self) -> int:
        """Return the flows that wait."""
        return len(self._waiting)

    def offer(
        self,
        now: float,
        opening: Opening,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> OpeningVerdict:
        """Decide on a new flow; it is kept when the verdict is to wait."""
        allowed = slots + OVERCOMMIT if opening.is_last else slots
        if not self._waiting and busy < allowed:
            return OpeningVerdict.START
        if not opening.is_last:
            # Another server may be idle, and asking it takes a round trip.
            return OpeningVerdict.REFUSE
        age_ms = opening.age_ms(now)
        older = sum(
            other.age_ms(now) >= age_ms for other in self._waiting.values()
        )
        wait_ms = max(0, busy + older + 1 - slots) * service_ms / slots
        margin = ANSWER_MARGINS[min(opening.priority, LOWEST_PRIORITY)]
        if age_ms + wait_ms > _latest_ms(opening, margin * service_ms):
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
        """Remove and return the flows that have become late."""
        late = [
            opening
            for opening in self._waiting.values()
            if opening.age_ms(now)
            > _latest_ms(opening, CHANCE_MARGIN * service_ms)
        ]
        for opening in late:
            self.discard(opening.key)
        return late

    def clear(self) -> list[Opening]:
        """Remove and return all flows that wait."""
        openings = list(self._waiting.values())
        self._waiting.clear()
        return openings

    def discard(self, key: bytes) -> None:
        """Remove a flow if it waits."""
        self._waiting.pop(key, None)

    def holds(self, key: bytes) -> bool:
        """Tell whether a flow waits."""
        return key in self._waiting


def _rank(
    now: float,
    opening: Opening,
    service_ms: float,
) -> tuple[bool, int, float]:
    """Order flows by their chance, then by priority, then by age.

    With time to spare the oldest goes first. When the wait has grown beyond
    the prediction, the youngest has the best chance left.
    """
    age_ms = opening.age_ms(now)
    is_tight = opening.target_ms - age_ms < SPARE_MARGIN * service_ms
    return (is_tight, opening.priority, age_ms if is_tight else -age_ms)


def _latest_ms(opening: Opening, answer_ms: float) -> float:
    """Return the age at which a flow has to start at the latest."""
    return min(opening.target_ms - answer_ms, MAX_WAIT_MS)
