"""The sidecars of one service, driven by a heap of events.

There are no sockets, processes or packets here: a clock, a seed, the
policies, and the two delays that matter to them, that of a claim between
sidecars and the age of what a sidecar knows of its peers.
"""

# Plug-ins are looked up by their abstract base, which is what mypy's
# type-abstract forbids for type arguments.
# mypy: disable-error-code="type-abstract"

import random
from collections.abc import Callable, Iterable
from functools import partial

from bench.policy_clock import EventClock
from bench.policy_handover import HOP_SECONDS, HandOvers
from bench.policy_placement import Placement
from bench.policy_sidecar import (
    Options,
    Policies,
    Request,
    Sidecar,
    build_sidecars,
    request_of,
)
from bench.policy_tally import Tally
from bench.policy_trace import Arrival, Workload
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.limits import QueueFullError
from dragonflyshift._internal.routing import PeerChoice

FAST_FAILURE_SECONDS = 0.005
DRAIN_SECONDS = 60


class Model:
    """One service under one set of policies."""

    def __init__(
        self,
        workload: Workload,
        policies: Policies,
        options: Options,
    ) -> None:
        """Build the sidecars and start the clock."""
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
        self._tally = Tally(workload.endpoints)
        self._clock = EventClock(self._count_idle)
        self._hand_overs = HandOvers(
            find_plugin(PeerChoice, policies.peers)(),
            options.claims,
            self._sidecars,
            self._clock,
            self._rng,
            self._tally,
            self._start,
            self._enqueue,
        )

    def run(self, arrivals: Iterable[Arrival]) -> Tally:
        """Feed the arrivals, let all end, and return what was counted."""
        for sidecar in self._sidecars:
            first = self._rng.uniform(0, self._options.refresh)
            self._clock.after(first, partial(self._refresh, sidecar))
        for arrival in arrivals:
            self._clock.advance(arrival.time)
            self._arrive(arrival)
        self._clock.advance(self._clock.now + DRAIN_SECONDS)
        return self._tally

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
            self._tally.idle_while_waiting += min(free, waiting) * (
                now - before
            )

    def _refresh(self, sidecar: Sidecar) -> None:
        sidecar.view = tuple(
            peer.record(self._clock.now)
            for peer in self._sidecars
            if peer is not sidecar
        )
        self._pump(sidecar)
        self._clock.after(
            self._options.refresh, partial(self._refresh, sidecar)
        )

    def _arrive(self, arrival: Arrival) -> None:
        home = self._placement.home(arrival, self._clock.now)
        req = Request(
            arrival,
            home,
            arrival.time >= self._options.warm_up,
        )
        self._tally.arrived += req.is_counted
        home.retries.deposit(self._clock.now)
        self._hand_overs.start_at_freer(req, self._admit)

    def _admit(self, req: Request) -> None:
        """Run a request at home if a slot is free, else ask the peers."""
        if req.home.admission.try_start(self._clock.now):
            self._start(req, req.home)
        else:
            self._hand_overs.start(req)

    def _enqueue(self, req: Request) -> None:
        home = req.home
        if home.admission.try_start(self._clock.now):
            self._start(req, home)
            return
        try:
            ticket = home.admission.enqueue(
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
            partial(self._expire, home),
        )

    def _refuse(self, req: Request) -> None:
        is_free = any(
            each.has_free_slot
            for each in self._sidecars
            if self._fault_at(each) == 'none'
        )
        self._tally.refused += req.is_counted
        self._tally.wrongly_refused += req.is_counted and is_free

    def _fault_at(self, sidecar: Sidecar) -> str:
        return self._options.fault.kind_at(sidecar.index, self._clock.now)

    def _expire(self, sidecar: Sidecar) -> None:
        for ticket in sidecar.admission.expire(self._clock.now):
            self._tally.expired += request_of(ticket).is_counted

    def _start(self, req: Request, sidecar: Sidecar) -> None:
        req.started_at = self._clock.now
        hold = req.arrival.hold
        fault = self._fault_at(sidecar)
        is_refused = fault == 'shedding' and sidecar.admission.running > 1
        is_failing = fault == 'failing'
        if is_refused or is_failing:
            hold = min(hold, FAST_FAILURE_SECONDS)
        if req.is_counted:
            self._tally.note_run(sidecar.index, hold)
        end = self._fail if is_refused or is_failing else self._answer
        self._clock.after(hold, partial(self._finish, req, sidecar, hold, end))

    def _finish(
        self,
        req: Request,
        sidecar: Sidecar,
        hold: float,
        end: Callable[[Request, Sidecar], None],
    ) -> None:
        sidecar.admission.finish(self._clock.now, hold)
        end(req, sidecar)
        self._pump(sidecar)

    def _answer(self, req: Request, sidecar: Sidecar) -> None:
        sidecar.admission.record_success(self._clock.now)
        if not req.is_counted:
            return
        if req.started_at > req.arrival.deadline:
            self._tally.late += 1
            return
        hops = 0 if sidecar is req.home else HOP_SECONDS
        self._tally.note_answer(
            req.started_at - req.arrival.time,
            self._clock.now + hops - req.arrival.time,
        )

    def _fail(self, req: Request, sidecar: Sidecar) -> None:
        sidecar.admission.record_shed(self._clock.now)
        if req.attempt >= self._options.max_attempts:
            self._tally.failed += req.is_counted
            return
        if not req.home.retries.withdraw(self._clock.now):
            self._tally.failed += req.is_counted
            return
        wait = req.home.retries.backoff(req.attempt)
        req.attempt += 1
        # What failed at home is tried elsewhere first.
        again = self._hand_overs.start if sidecar is req.home else self._admit
        self._clock.after(wait, partial(again, req))

    def _pump(self, sidecar: Sidecar) -> None:
        ticket = sidecar.admission.start_next(self._clock.now)
        while ticket is not None:
            self._start(request_of(ticket), sidecar)
            ticket = sidecar.admission.start_next(self._clock.now)
        if self._options.has_offers:
            self._hand_overs.offer(sidecar)
