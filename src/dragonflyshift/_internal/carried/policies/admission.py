"""Admission of new flows to the slots of a backend server.

Servers have one to four slots. When many clients reconnect after a loss of
servers, or at 1.7 times the usual load, a queue that accepts every flow grows
until all waits reach the latency target, and most responses come just too
late. Therefore a new flow waits only if its response is predicted to be within
its latency target. All others are refused at once, while another server can
still serve their clients. A flow waits only if the balancer permits the sidecar
to queue it (``is_last``). Otherwise a busy server refuses the flow, so that the
balancer can offer it to another server that it expects to be idle.
"""

__all__ = (
    'EXPIRY_MARGIN',
    'LOWEST_PRIORITY',
    'MAX_START_AGE_MS',
    'OVERCOMMIT',
    'START_MARGINS',
    'AdmissionDecision',
    'AdmissionPolicy',
    'InTimeOnly',
    'NewFlow',
    'QueuedAdmission',
    'SlotReservation',
    'latest_start_ms',
    'start_rank',
)

import enum
from abc import abstractmethod
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.kernel.registry import Plugin

# Maximum age at which a flow starts. Clients retransmit a first packet for
# 1.4 s; the rest of that time is left for the response.
MAX_START_AGE_MS = 1200.0
# How many mean service times must remain before the latency target at the
# predicted start of a flow, by priority. The last entry also applies to all
# lower priorities. Less urgent flows need a larger margin, which leaves room
# in the queue for urgent flows that arrive later.
START_MARGINS = (1.0, 1.0, 1.5)
LOWEST_PRIORITY = len(START_MARGINS) - 1
# A waiting flow with fewer mean service times than this left before its
# target is at risk of missing it, because service times vary by about half of
# their mean.
TIGHT_MARGIN = 2.0
# A waiting flow with fewer mean service times than this left expires: more
# than half of the responses would be late.
EXPIRY_MARGIN = 1.0
# Flows that are let through in excess of the slots, so that a server isn't
# idle during the round trip between two requests.
OVERCOMMIT = 1
# Bounds of the reservation. A packet that was lost is sent again within the
# maximum, which applies until a request was observed.
MIN_RESERVATION_S = 0.01
MAX_RESERVATION_S = 0.3
# Weights of a sample and the factor of the deviation, as in the retransmission
# timer of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_FACTOR = 4


class AdmissionDecision(enum.Enum):
    """The result of offering a new flow to an admission policy."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


@define(eq=False, repr=False)
class NewFlow:
    """A flow that no backend server has accepted yet, with its first packet.

    ``raw`` is the first packet and ``sender`` the balancer that offered it.
    ``arrived_at`` is in seconds of the monotonic clock; ``waited_ms`` is the
    age of the flow at that time: the time since the balancer received the
    first packet, or the age of a retransmission if that is greater.
    ``is_last`` is set if the sidecar may queue the flow instead of refusing
    it. Priority 0 is the highest.
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
        """Return the time since the client sent its first packet."""
        return self.waited_ms + (now - self.arrived_at) * 1000


class AdmissionPolicy(Plugin, kind='opening-policy'):
    """Admits new flows to the slots of one backend server.

    ``busy`` is the number of slots that are taken or reserved, ``slots`` the
    number of all slots and ``service_ms`` the mean service time.
    """

    @property
    @abstractmethod
    def waiting(self) -> int:
        """Return the number of waiting flows."""

    @abstractmethod
    def decide(
        self,
        now: float,
        flow: NewFlow,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> AdmissionDecision:
        """Decide on a new flow and queue it if the decision is to wait."""

    @abstractmethod
    def next_ready(
        self,
        now: float,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> NewFlow | None:
        """Remove and return the next flow to start if a slot is free."""

    @abstractmethod
    def expire(self, now: float, service_ms: float) -> list[NewFlow]:
        """Remove and return the waiting flows that are too late to start."""

    @abstractmethod
    def clear(self) -> list[NewFlow]:
        """Remove and return all waiting flows."""

    @abstractmethod
    def discard(self, key: bytes) -> None:
        """Remove a flow if it is waiting."""

    @abstractmethod
    def holds(self, key: bytes) -> bool:
        """Return whether a flow is waiting."""

    def backlog(self, _now: float, _service_ms: float) -> int:
        """Return the number of waiting flows to report to balancers.

        A balancer expects a new flow to start after them.
        """
        return self.waiting

    def take_displaced(self) -> list[NewFlow]:
        """Remove and return the waiting flows that gave way to a new one.

        Their first packets have not been delivered. Only policies that
        displace flows return any.
        """
        return []

    def gauges(self) -> dict[str, Callable[[float], float]]:
        """Return the gauges of the policy by name, as functions of the time."""
        return {}


class QueuedAdmission(AdmissionPolicy):
    """Base class of the policies that order waiting flows by a rank.

    A flow starts in a free slot if no other waits, and is refused if another
    server may be idle. Otherwise the predicted wait decides whether it joins
    the queue. Derived classes define the order of the queue and the ages up to
    which a flow may wait.
    """

    def __init__(self) -> None:
        """Create a policy with an empty queue."""
        self._waiting: dict[bytes, NewFlow] = {}

    @property
    def waiting(self) -> int:
        """Return the number of waiting flows."""
        return len(self._waiting)

    def decide(
        self,
        now: float,
        flow: NewFlow,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> AdmissionDecision:
        """Decide on a new flow and queue it if the decision is to wait."""
        allowed = slots + OVERCOMMIT if flow.is_last else slots
        if not self._waiting and busy < allowed:
            return AdmissionDecision.START
        if not flow.is_last:
            # Another server may be idle, and offering the flow to it takes
            # only a round trip.
            return AdmissionDecision.REFUSE
        ahead = busy + self.count_ahead(now, flow, service_ms) + 1 - slots
        wait_ms = max(0, ahead) * service_ms / max(1, slots)
        latest_ms = self.latest_planned_start_ms(flow, service_ms)
        if flow.age_ms(now) + wait_ms > latest_ms:
            return AdmissionDecision.REFUSE
        self._waiting[flow.key] = flow
        return AdmissionDecision.WAIT

    def next_ready(
        self,
        now: float,
        busy: int,
        slots: int,
        service_ms: float,
    ) -> NewFlow | None:
        """Remove and return the next flow to start if a slot is free."""
        if not self._waiting or busy >= slots + OVERCOMMIT:
            return None
        chosen = min(
            self._waiting.values(),
            key=lambda flow: self.rank(now, flow, service_ms),
        )
        return self._waiting.pop(chosen.key)

    def expire(self, now: float, service_ms: float) -> list[NewFlow]:
        """Remove and return the flows that are too late to start."""
        expired = [
            flow
            for flow in self._waiting.values()
            if flow.age_ms(now) > self.expiry_ms(flow, service_ms)
        ]
        for flow in expired:
            self.discard(flow.key)
        return expired

    def clear(self) -> list[NewFlow]:
        """Remove and return all waiting flows."""
        flows = list(self._waiting.values())
        self._waiting.clear()
        return flows

    def discard(self, key: bytes) -> None:
        """Remove a flow if it is waiting."""
        self._waiting.pop(key, None)

    def holds(self, key: bytes) -> bool:
        """Return whether a flow is waiting."""
        return key in self._waiting

    @abstractmethod
    def rank(
        self, now: float, flow: NewFlow, service_ms: float
    ) -> tuple[int, int, float]:
        """Return the sort key of a waiting flow; the lowest starts first."""

    @abstractmethod
    def count_ahead(self, now: float, flow: NewFlow, service_ms: float) -> int:
        """Return how many waiting flows start before a new one."""

    @abstractmethod
    def latest_planned_start_ms(
        self, flow: NewFlow, service_ms: float
    ) -> float:
        """Return the maximum predicted age at the start of a queued flow."""

    @abstractmethod
    def expiry_ms(self, flow: NewFlow, service_ms: float) -> float:
        """Return the age at which a waiting flow is given up."""


class InTimeOnly(QueuedAdmission, name='in-time-only'):
    """Queues only flows that can meet their latency target.

    A flow that is already late still starts if a slot is free.
    """

    def rank(
        self, now: float, flow: NewFlow, service_ms: float
    ) -> tuple[int, int, float]:
        """Return the sort key of a waiting flow; the lowest starts first."""
        return start_rank(now, flow, service_ms)

    def count_ahead(self, now: float, flow: NewFlow, service_ms: float) -> int:
        """Return how many waiting flows are at least as old as a new one."""
        age_ms = flow.age_ms(now)
        return sum(
            other.age_ms(now) >= age_ms for other in self._waiting.values()
        )

    def latest_planned_start_ms(
        self, flow: NewFlow, service_ms: float
    ) -> float:
        """Return the maximum predicted age at the start of a queued flow."""
        margin = START_MARGINS[min(flow.priority, LOWEST_PRIORITY)]
        return latest_start_ms(flow, margin * service_ms)

    def expiry_ms(self, flow: NewFlow, service_ms: float) -> float:
        """Return the age from which a flow would miss its target."""
        return latest_start_ms(flow, EXPIRY_MARGIN * service_ms)


def start_rank(
    now: float,
    flow: NewFlow,
    service_ms: float,
) -> tuple[int, int, float]:
    """Return the sort key of a waiting flow; the lowest one starts first.

    Flows with at least ``TIGHT_MARGIN`` mean service times left before their
    target come first, oldest first. Among the others, the youngest is the
    most likely to meet its target. Within each group the priority comes before
    the age.
    """
    age_ms = flow.age_ms(now)
    is_tight = flow.target_ms - age_ms < TIGHT_MARGIN * service_ms
    return (is_tight, flow.priority, age_ms if is_tight else -age_ms)


def latest_start_ms(flow: NewFlow, response_ms: float) -> float:
    """Return the maximum age at which a flow may start."""
    return min(flow.target_ms - response_ms, MAX_START_AGE_MS)


@define(eq=False, repr=False)
class SlotReservation:
    """How long a slot stays reserved for the request of a new flow.

    A slot is reserved from the delivery of a first packet, so that no other
    flow takes it before the request arrives. After an outage many flows start
    whose clients have given up; each would block a slot, and the queue behind
    it, for as long as a lost request may take. Therefore the reservation
    follows the time that requests take to arrive. ``seconds`` is its length.

    Example:
        >>> reservation = SlotReservation()
        >>> for _ in range(50):
        ...     reservation.record(0.008)
        >>> reservation.seconds < 0.02
        True
    """

    seconds: float = MAX_RESERVATION_S
    _mean_s: float | None = field(default=None)
    _deviation_s: float = field(default=0)

    def until(self, now: float) -> float:
        """Return until when a slot that is reserved now stays reserved."""
        return now + self.seconds

    def record(self, arrival_s: float) -> None:
        """Add the time from a first packet to the request of its flow.

        Times beyond the maximum are left out: a client that keeps its flow
        open may send its request whenever it likes.
        """
        if arrival_s > MAX_RESERVATION_S:
            return
        if self._mean_s is None:
            self._mean_s = arrival_s
            self._deviation_s = arrival_s / 2
        else:
            error_s = arrival_s - self._mean_s
            self._mean_s += MEAN_WEIGHT * error_s
            self._deviation_s += DEVIATION_WEIGHT * (
                abs(error_s) - self._deviation_s
            )
        bound_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self.seconds = min(MAX_RESERVATION_S, max(MIN_RESERVATION_S, bound_s))
