"""Queue of requests that wait for a local slot."""

import asyncio
import time

from attrs import define, frozen

from dragonflyshift._internal.limits import Admission, QueueFullError, Ticket
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.local_runner import LocalRunner
from dragonflyshift._internal.sidecar.request import Request, ResponseSink
from dragonflyshift._internal.sidecar.slot import Slot
from dragonflyshift._internal.telemetry import Metrics


@define(eq=False)
class LocalReservation:
    """A reserved slot of the local backend server."""

    runner: LocalRunner
    slot: Slot

    async def run(self, req: Request, sink: ResponseSink) -> None:
        """Run the request locally; raise RunFailedError on failure."""
        self.slot.start()
        try:
            await self.runner.run(req, sink)
        finally:
            self.slot.release()

    def release(self) -> None:
        """Release the slot unused."""
        self.slot.release()


@frozen
class SlotOffered:
    """A peer has offered a free slot."""

    peer: Address


@frozen
class MoveToPeers:
    """This sidecar accepts no more work; the request must go to a peer."""


@frozen
class DeadlineExpired:
    """The deadline of the request passed."""


@frozen
class Displaced:
    """The request gave way to one of a client below its share."""


Wakeup = (
    LocalReservation | SlotOffered | MoveToPeers | DeadlineExpired | Displaced
)


@define(eq=False)
class QueuedRequest:
    """A queued request: its ticket, and the future of its wakeup."""

    ticket: Ticket
    future: asyncio.Future[Wakeup]


class RequestQueue:
    """Queues requests, and wakes them for a slot, an offer or a timeout."""

    def __init__(
        self,
        admission: Admission,
        runner: LocalRunner,
        metrics: Metrics,
    ) -> None:
        """Keep the queue in ``admission``."""
        self._admission = admission
        self._runner = runner
        self._metrics = metrics

    def enqueue(self, req: Request) -> QueuedRequest:
        """Queue a request; raise NotRunError if the queue is full."""
        try:
            ticket = self._admission.enqueue(
                time.monotonic(),
                req.info.deadline,
                req.info.client,
            )
        except QueueFullError as exc:
            self._metrics.incr('refused.queue-full')
            raise NotRunError('all slots are busy', exc.retry_after) from exc
        future = asyncio.get_running_loop().create_future()
        ticket.waiter = future
        for displaced in ticket.displaces:
            _wake(displaced, Displaced())
        return QueuedRequest(ticket, future)

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request, releasing a slot it was given meanwhile."""
        self._admission.cancel(queued.ticket)
        if queued.future.done() and not queued.future.cancelled():
            wakeup = queued.future.result()
            if isinstance(wakeup, LocalReservation):
                wakeup.release()
        queued.future.cancel()

    def start_ready(self) -> None:
        """Expire late requests and give free slots to the next ones."""
        now = time.monotonic()
        for expired in self._admission.expire(now):
            _wake(expired, DeadlineExpired())
        while True:
            ticket = self._admission.start_next(now)
            if ticket is None:
                return
            reservation = LocalReservation(self._runner, Slot(self._admission))
            if not _wake(ticket, reservation):
                reservation.release()

    def move_all_to_peers(self) -> None:
        """Wake all queued requests so that they claim slots at peers."""
        woke_one = True
        while woke_one:
            woke_one = self.wake_next(MoveToPeers())

    def wake_next(self, wakeup: Wakeup) -> bool:
        """Remove and wake the next request; return False if none is queued."""
        ticket = self._admission.peek(time.monotonic())
        if ticket is None:
            return False
        # Remove it from the queue first, so that it can't start twice.
        self._admission.cancel(ticket)
        _wake(ticket, wakeup)
        return True

    def refusal_error(self, wakeup: DeadlineExpired | Displaced) -> NotRunError:
        """Count and return the error of a request that left the queue."""
        retry_after = self._admission.retry_after(time.monotonic())
        if isinstance(wakeup, Displaced):
            self._metrics.incr('refused.displaced')
            return NotRunError('the client used up its share', retry_after)
        self._metrics.incr('refused.expired')
        return NotRunError('no slot before the deadline', retry_after)


def _wake(ticket: Ticket, wakeup: Wakeup) -> bool:
    """Wake a queued request; return False if it is no longer queued."""
    future = ticket.waiter
    if not isinstance(future, asyncio.Future) or future.done():
        return False
    future.set_result(wakeup)
    return True
