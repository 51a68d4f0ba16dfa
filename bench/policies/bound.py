"""An ideal queue shared by all slots, without delays or stale views.

Its results are the bound that the policies are compared with.
"""

from collections import deque
from collections.abc import Iterable

from attrs import define

from bench.policies.tally import RunCounters
from bench.policies.trace import Arrival, Workload


@define
class _Slot:
    endpoint: int
    free_at: float = 0


class CommonQueue:
    """A first-come, first-served queue over all slots of a service.

    Requests start on the endpoint with the fewest slot-seconds among those
    with a free slot, so the imbalance is also the least that these requests
    allow.
    """

    def __init__(self, workload: Workload, queue_limit: int) -> None:
        """Combine the slots and the queue limits of all endpoints."""
        self._workload = workload
        self._queue_limit = queue_limit * workload.endpoints
        self._slots = [
            _Slot(endpoint)
            for endpoint in range(workload.endpoints)
            for _ in range(workload.slots)
        ]
        self._starts: deque[float] = deque()

    def run(self, arrivals: Iterable[Arrival], warm_up: float) -> RunCounters:
        """Serve the arrivals; count those from ``warm_up`` (seconds) on."""
        counters = RunCounters(self._workload.endpoints)
        for arrival in arrivals:
            self._serve(arrival, counters, arrival.time >= warm_up)
        return counters

    def _serve(
        self, arrival: Arrival, counters: RunCounters, is_measured: bool
    ) -> None:
        now = arrival.time
        counters.arrived += is_measured
        while self._starts and self._starts[0] <= now:
            self._starts.popleft()
        if len(self._starts) >= self._queue_limit:
            counters.refused += is_measured
            return
        slot = self._next_slot(now, counters)
        start = max(now, slot.free_at)
        if start > arrival.deadline:
            counters.expired += is_measured
            return
        self._starts.append(start)
        slot.free_at = start + arrival.service_time
        if is_measured:
            wait = start - now
            counters.record_run(slot.endpoint, arrival.service_time)
            counters.record_answer(wait, wait + arrival.service_time)

    def _next_slot(self, now: float, counters: RunCounters) -> _Slot:
        idle = [slot for slot in self._slots if slot.free_at <= now]
        if idle:
            return min(
                idle,
                key=lambda slot: counters.slot_seconds[slot.endpoint],
            )
        return min(self._slots, key=lambda slot: slot.free_at)
