"""Adaptive admission under random sequences of calls.

The machine compares the admission with a simple model of running and queued
requests, to detect lost requests, slots beyond the capacity and refusals
without a reason.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from dragonflyshift._internal.limits import (
    AdaptiveAdmission,
    QueueFullError,
    Ticket,
)

FAR_DEADLINE_SECONDS = 1_000_000.0

clients = st.sampled_from((b'', b'a', b'b'))


def _is_running(machine: 'AdmissionMachine') -> bool:
    return machine.running > 0


class AdmissionMachine(RuleBasedStateMachine):
    """Model the requests that are running and queued."""

    @initialize(slots=st.integers(1, 4), slow_start=st.sampled_from((0, 5)))
    def start(self, slots: int, slow_start: float) -> None:
        self.now: float = 0
        self.admission = AdaptiveAdmission(slots, 3, slow_start, self.now)
        self.queue_limit = 3
        self.running = 0
        self.waiting: list[Ticket] = []

    @rule(seconds=st.floats(0, 4))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def try_start(self) -> None:
        free = self.admission.free_slots(self.now)
        started = self.admission.try_start(self.now)
        assert started == (free > 0)
        if started:
            assert not any(each.deadline > self.now for each in self.waiting)
            self._record_start()

    @rule(
        client=clients,
        seconds=st.sampled_from((0, 1, 20, FAR_DEADLINE_SECONDS)),
    )
    def enqueue(self, client: bytes, seconds: float) -> None:
        deadline = self.now + seconds
        before = self.admission.retry_after(self.now)
        try:
            ticket = self.admission.enqueue(self.now, deadline, client)
        except QueueFullError as exc:
            assert exc.retry_after > 0
            self._check_refusal(client, seconds, before)
        else:
            assert len(self.waiting) < self.queue_limit
            assert deadline > self.now
            self.waiting.append(ticket)

    @rule()
    def start_next(self) -> None:
        first = self.admission.peek(self.now)
        ticket = self.admission.start_next(self.now)
        if ticket is not None:
            assert ticket is first
            assert ticket.deadline > self.now
            self.waiting.remove(ticket)
            self._record_start()

    @precondition(_is_running)
    @rule(held=st.floats(0, 4))
    def finish(self, held: float) -> None:
        self.running -= 1
        self.admission.finish(self.now, held)

    @rule()
    def expire(self) -> None:
        for ticket in self.admission.expire(self.now):
            assert ticket.deadline <= self.now
            self.waiting.remove(ticket)
        assert all(each.deadline > self.now for each in self.waiting)

    @rule(index=st.integers(0, 3))
    def cancel(self, index: int) -> None:
        if index < len(self.waiting):
            ticket = self.waiting.pop(index)
            self.admission.cancel(ticket)
            self.admission.cancel(ticket)

    @rule(is_shed=st.booleans())
    def answer(self, is_shed: bool) -> None:
        if is_shed:
            self.admission.record_shed(self.now)
        else:
            self.admission.record_success(self.now)

    @rule(slots=st.integers(1, 4), queue_limit=st.integers(0, 5))
    def resize(self, slots: int, queue_limit: int) -> None:
        self.admission.resize(slots, queue_limit)
        self.queue_limit = queue_limit

    @invariant()
    def counts_match_the_model(self) -> None:
        assert self.admission.running == self.running
        assert self.admission.queued == len(self.waiting)

    def _record_start(self) -> None:
        self.running += 1
        assert self.running <= self.admission.capacity(self.now)

    def _check_refusal(
        self,
        client: bytes,
        seconds: float,
        wait: float,
    ) -> None:
        """Check that the queue, the client's share or the deadline is why."""
        room = self.queue_limit - len(self.waiting)
        held = sum(each.client == client for each in self.waiting)
        is_full = room <= 0 or (bool(client) and held >= room)
        assert is_full or seconds == 0 or wait >= seconds


AdmissionMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
)
AdmissionTests = AdmissionMachine.TestCase
