"""Discrete-event simulation of the sidecars of one service.

The simulation has no sockets, processes or packets. It consists of a clock,
a seed, the policies and the two delays that affect them: the delay of a
claim between sidecars and the age of a sidecar's view of its peers.
"""

# Plug-ins are looked up by their abstract base class, which mypy's
# type-abstract check forbids as a type argument.
# mypy: disable-error-code="type-abstract"

import random
from collections.abc import Callable, Iterable
from functools import partial

from bench.policies.clock import EventClock
from bench.policies.handover import HOP_SECONDS, HandOvers
from bench.policies.placement import Placement
from bench.policies.sidecar import (
    Options,
    Policies,
    Request,
    Sidecar,
    build_sidecars,
    ticket_request,
)
from bench.policies.tally import RunCounters
from bench.policies.trace import Arrival, Workload
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.limits import QueueFullError
from dragonflyshift._internal.routing import PeerChoice

FAST_FAILURE_SECONDS = 0.005
DRAIN_SECONDS = 60


class Simulation:
    """Simulates one service with one set of policies."""

    def __init__(
        self,
        workload: Workload,
        policies: Policies,
        options: Options,
    ) -> None:
        """Build the sidecars and a clock that starts at zero."""
        self._workload = workload
        self._options = options
        self._rng = random.Random(workload.seed)
        self._sidecars = build_sidecars(
            workload,
            policies,
            options,
            self._rng,
        )
        self._placement = Placement(policies, options.locality, self._sidecars)
        self._counters = RunCounters(workload.endpoints)
        self._clock = EventClock(self._count_idle)
        self._hand_overs = HandOvers(
            find_plugin(PeerChoice, policies.peers)(),
            options.claims,
            self._sidecars,
            self._clock,
            self._rng,
            self._counters,
            self._start,
            self._enqueue,
        )

    def run(self, arrivals: Iterable[Arrival]) -> RunCounters:
        """Simulate the arrivals and return the counters.

        Requests that are still open after the last arrival have
        ``DRAIN_SECONDS`` to end.
        """
        for sidecar in self._sidecars:
            first = self._rng.uniform(0, self._options.refresh)
            self._clock.after(first, partial(self._refresh, sidecar))
        for arrival in arrivals:
            self._clock.advance(arrival.time)
            self._arrive(arrival)
        self._clock.advance(self._clock.now + DRAIN_SECONDS)
        return self._counters

    def _count_idle(self, before: float, now: float) -> None:
        """Integrate the free slots that waiting requests could use."""
        if not self._options.warm_up <= now <= self._workload.seconds:
            return
        free = sum(
            max(0, each.endpoint.slots - each.admission.running)
            for each in self._sidecars
        )
        if free:
            waiting = sum(each.admission.queued for each in self._sidecars)
            self._counters.idle_while_waiting += min(free, waiting) * (
                now - before
            )

    def _refresh(self, sidecar: Sidecar) -> None:
        sidecar.view = tuple(
            peer.record(self._clock.now)
            for peer in self._sidecars
            if peer is not sidecar
        )
        self._start_queued(sidecar)
        self._clock.after(
            self._options.refresh, partial(self._refresh, sidecar)
        )

    def _arrive(self, arrival: Arrival) -> None:
        owner = self._placement.owner(arrival, self._clock.now)
        req = Request(
            arrival,
            owner,
            arrival.time >= self._options.warm_up,
        )
        self._counters.arrived += req.is_measured
        owner.retries.deposit(self._clock.now)
        self._hand_overs.start_at_less_loaded(req, self._admit)

    def _admit(self, req: Request) -> None:
        """Run a request at its owner if a slot is free, else claim a slot."""
        if req.owner.admission.try_start(self._clock.now):
            self._start(req, req.owner)
        else:
            self._hand_overs.start(req)

    def _enqueue(self, req: Request) -> None:
        owner = req.owner
        if owner.admission.try_start(self._clock.now):
            self._start(req, owner)
            return
        try:
            ticket = owner.admission.enqueue(
                self._clock.now,
                req.arrival.deadline,
                req.client,
            )
        except QueueFullError:
            self._refuse(req)
            return
        ticket.waiter = req
        self._clock.after(
            req.arrival.deadline - self._clock.now,
            partial(self._expire, owner),
        )

    def _refuse(self, req: Request) -> None:
        is_free = any(
            each.has_free_slot
            for each in self._sidecars
            if self._fault_at(each) == 'none'
        )
        self._counters.refused += req.is_measured
        self._counters.wrongly_refused += req.is_measured and is_free

    def _fault_at(self, sidecar: Sidecar) -> str:
        return self._options.fault.kind_at(sidecar.index, self._clock.now)

    def _expire(self, sidecar: Sidecar) -> None:
        for ticket in sidecar.admission.expire(self._clock.now):
            self._counters.expired += ticket_request(ticket).is_measured

    def _start(self, req: Request, sidecar: Sidecar) -> None:
        req.started_at = self._clock.now
        service_time = req.arrival.service_time
        fault = self._fault_at(sidecar)
        is_refused = fault == 'shedding' and sidecar.admission.running > 1
        is_failing = fault == 'failing'
        if is_refused or is_failing:
            service_time = min(service_time, FAST_FAILURE_SECONDS)
        if req.is_measured:
            self._counters.record_run(sidecar.index, service_time)
        end = self._fail if is_refused or is_failing else self._answer
        self._clock.after(
            service_time, partial(self._finish, req, sidecar, service_time, end)
        )

    def _finish(
        self,
        req: Request,
        sidecar: Sidecar,
        service_time: float,
        end: Callable[[Request, Sidecar], None],
    ) -> None:
        sidecar.admission.finish(self._clock.now, service_time)
        end(req, sidecar)
        self._start_queued(sidecar)

    def _answer(self, req: Request, sidecar: Sidecar) -> None:
        sidecar.admission.record_success(self._clock.now)
        if not req.is_measured:
            return
        if req.started_at > req.arrival.deadline:
            self._counters.late += 1
            return
        hop_delay = 0 if sidecar is req.owner else HOP_SECONDS
        self._counters.record_answer(
            req.started_at - req.arrival.time,
            self._clock.now + hop_delay - req.arrival.time,
        )

    def _fail(self, req: Request, sidecar: Sidecar) -> None:
        sidecar.admission.record_shed(self._clock.now)
        if req.attempt >= self._options.max_attempts:
            self._counters.failed += req.is_measured
            return
        if not req.owner.retries.withdraw(self._clock.now):
            self._counters.failed += req.is_measured
            return
        wait = req.owner.retries.backoff(req.attempt)
        req.attempt += 1
        # A retry after a failure at the owner tries the peers first.
        retry = self._hand_overs.start if sidecar is req.owner else self._admit
        self._clock.after(wait, partial(retry, req))

    def _start_queued(self, sidecar: Sidecar) -> None:
        ticket = sidecar.admission.start_next(self._clock.now)
        while ticket is not None:
            self._start(ticket_request(ticket), sidecar)
            ticket = sidecar.admission.start_next(self._clock.now)
        if self._options.has_offers:
            self._hand_overs.offer(sidecar)
