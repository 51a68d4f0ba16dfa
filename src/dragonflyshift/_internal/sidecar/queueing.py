"""The queue of requests that wait for a slot of this sidecar."""

import asyncio
import time

from attrs import define, frozen

from dragonflyshift._internal.limits import Admission, QueueFullError, Ticket
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.local import LocalRunner
from dragonflyshift._internal.sidecar.request import AnswerSink, Request
from dragonflyshift._internal.sidecar.slot import Slot
from dragonflyshift._internal.telemetry import Metrics


@define(eq=False)
class LocalPlace:
    """A slot of the sidecar's own backend server."""

    runner: LocalRunner
    slot: Slot

    async def run(self, req: Request, sink: AnswerSink) -> None:
        """Run the request here; raise RunFailedError."""
        self.slot.begin()
        try:
            await self.runner.run(req, sink)
        finally:
            self.slot.give_back()

    def release(self) -> None:
        """Give the slot back unused."""
        self.slot.give_back()


@frozen
class Offered:
    """A peer has told that a slot is free there."""

    peer: Address


@frozen
class Moved:
    """This sidecar takes no new work any more; ask the peers."""


@frozen
class Expired:
    """The deadline passed."""


Wakeup = LocalPlace | Offered | Moved | Expired


@define(eq=False)
class Waiting:
    """A queued request: its ticket, and a future of what wakes it."""

    ticket: Ticket
    future: asyncio.Future[Wakeup]


class RequestQueue:
    """Queue requests, and wake them when there is something for them."""

    def __init__(
        self,
        admission: Admission,
        runner: LocalRunner,
        metrics: Metrics,
    ) -> None:
        """Queue in ``admission``."""
        self._admission = admission
        self._runner = runner
        self._metrics = metrics

    def enter(self, req: Request) -> Waiting:
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
        return Waiting(ticket, future)

    def leave(self, waiting: Waiting) -> None:
        """Take a request out; a slot that it got meanwhile goes back."""
        self._admission.cancel(waiting.ticket)
        if waiting.future.done() and not waiting.future.cancelled():
            wakeup = waiting.future.result()
            if isinstance(wakeup, LocalPlace):
                wakeup.release()
        waiting.future.cancel()

    def start_ready(self) -> None:
        """Give free slots to the requests that are next."""
        now = time.monotonic()
        for expired in self._admission.expire(now):
            _wake(expired, Expired())
        while True:
            ticket = self._admission.start_next(now)
            if ticket is None:
                return
            place = LocalPlace(self._runner, Slot(self._admission))
            if not _wake(ticket, place):
                place.release()

    def move_all(self) -> None:
        """Send all queued requests to the peers."""
        has_moved = True
        while has_moved:
            has_moved = self.wake_next(Moved())

    def wake_next(self, wakeup: Wakeup) -> bool:
        """Take the next request out of the queue; False if none waits."""
        ticket = self._admission.peek(time.monotonic())
        if ticket is None:
            return False
        # It leaves the queue first, so that it can't start twice.
        self._admission.cancel(ticket)
        _wake(ticket, wakeup)
        return True

    def refusal(self) -> NotRunError:
        """Return the error of a request whose deadline passed here."""
        self._metrics.incr('refused.expired')
        retry_after = self._admission.retry_after(time.monotonic())
        return NotRunError('no slot before the deadline', retry_after)


def _wake(ticket: Ticket, wakeup: Wakeup) -> bool:
    """Tell a waiting request; False if it no longer waits."""
    future = ticket.waiter
    if not isinstance(future, asyncio.Future) or future.done():
        return False
    future.set_result(wakeup)
    return True
