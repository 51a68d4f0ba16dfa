"""The bound: one queue common to all slots, without delay or stale views."""

from collections import deque
from collections.abc import Iterable

from attrs import define

from bench.policy_tally import Tally
from bench.policy_trace import Arrival, Workload


@define
class _Slot:
    endpoint: int
    free_at: float = 0


class CommonQueue:
    """First come, first served over all slots of a service.

    A free slot is taken on the endpoint that has worked least, so the
    imbalance is also the least that these requests allow.
    """

    def __init__(self, workload: Workload, queue_limit: int) -> None:
        """Put the slots of all endpoints together, and their queues too."""
        self._workload = workload
        self._queue_limit = queue_limit * workload.endpoints
        self._slots = [
            _Slot(endpoint)
            for endpoint in range(workload.endpoints)
            for _ in range(workload.slots)
        ]
        self._starts: deque[float] = deque()

    def run(self, arrivals: Iterable[Arrival], warm_up: float) -> Tally:
        """Serve the arrivals; count those that come after ``warm_up``."""
        tally = Tally(self._workload.endpoints)
        for arrival in arrivals:
            self._serve(arrival, tally, arrival.time >= warm_up)
        return tally

    def _serve(self, arrival: Arrival, tally: Tally, is_counted: bool) -> None:
        now = arrival.time
        tally.arrived += is_counted
        while self._starts and self._starts[0] <= now:
            self._starts.popleft()
        if len(self._starts) >= self._queue_limit:
            tally.refused += is_counted
            return
        slot = self._next_slot(now, tally)
        start = max(now, slot.free_at)
        if start > arrival.deadline:
            tally.expired += is_counted
            return
        self._starts.append(start)
        slot.free_at = start + arrival.hold
        if is_counted:
            wait = start - now
            tally.note_run(slot.endpoint, arrival.hold)
            tally.note_answer(wait, wait + arrival.hold)

    def _next_slot(self, now: float, tally: Tally) -> _Slot:
        idle = [slot for slot in self._slots if slot.free_at <= now]
        if idle:
            return min(
                idle,
                key=lambda slot: tally.slot_seconds[slot.endpoint],
            )
        return min(self._slots, key=lambda slot: slot.free_at)
