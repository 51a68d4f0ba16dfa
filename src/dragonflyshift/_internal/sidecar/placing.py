"""Find a slot for a request: here, at a peer, or after a wait.

A request waits at the sidecar of its flow, in a bounded queue. While it
waits, peers are asked again, so that a flow doesn't pin its work to a full
instance while another one is idle.
"""

import asyncio
import time
from collections.abc import Callable

from attrs import define

from dragonflyshift._internal.limits import Admission, QueueFullError, Ticket
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.local import LocalRunner
from dragonflyshift._internal.sidecar.peers import PeerClaims, PeerPlace
from dragonflyshift._internal.sidecar.request import AnswerSink, Request
from dragonflyshift._internal.telemetry import Metrics

ASK_AGAIN_SECONDS = 0.1
MAX_ASK_AGAIN_SECONDS = 1.6
MAX_PEER_ROUNDS = 4


@define(eq=False)
class LocalPlace:
    """A slot of the sidecar's own backend server."""

    runner: LocalRunner
    admission: Admission

    async def run(self, req: Request, sink: AnswerSink) -> None:
        """Run the request here; raise RunFailedError."""
        await self.runner.run(req, sink)

    def release(self) -> None:
        """Give the slot back unused."""
        self.admission.finish(time.monotonic(), 0)


class SlotFinder:
    """Place requests on slots."""

    def __init__(
        self,
        admission: Admission,
        runner: LocalRunner,
        claims: PeerClaims,
        runs_here: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Use own slots only while ``runs_here`` says so."""
        self._admission = admission
        self._runner = runner
        self._claims = claims
        self._runs_here = runs_here
        self._metrics = metrics

    async def find(
        self,
        req: Request,
        *,
        avoid_own: bool,
    ) -> LocalPlace | PeerPlace:
        """Return a slot for a request; raise NotRunError when there is none.

        With ``avoid_own`` the own backend server has just failed the request,
        so only peers are asked.
        """
        own = self._runs_here() and not avoid_own
        if own and self._admission.try_start(time.monotonic()):
            return LocalPlace(self._runner, self._admission)
        place = await self._claims.claim(req)
        if place is not None:
            self._metrics.incr('handed-over')
            return place
        if own:
            return await self._wait(req)
        return await self._wait_for_peer(req)

    def pump(self) -> None:
        """Wake the queued requests for which a slot is free."""
        now = time.monotonic()
        for expired in self._admission.expire(now):
            _resolve(expired, place=None)
        while True:
            ticket = self._admission.next_ready(now)
            if ticket is None:
                return
            place = LocalPlace(self._runner, self._admission)
            if not _resolve(ticket, place):
                place.release()

    async def _wait(self, req: Request) -> LocalPlace | PeerPlace:
        now = time.monotonic()
        try:
            ticket = self._admission.enqueue(
                now,
                req.info.deadline,
                req.info.client,
            )
        except QueueFullError as exc:
            self._metrics.incr('refused.queue-full')
            raise NotRunError('all slots are busy', exc.retry_after) from exc
        waiter = asyncio.get_running_loop().create_future()
        ticket.waiter = waiter
        try:
            place = await self._first_of(req, waiter)
        except BaseException:
            self._give_up(ticket, waiter)
            raise
        if isinstance(place, PeerPlace):
            self._give_up(ticket, waiter)
        return place

    async def _first_of(
        self,
        req: Request,
        waiter: asyncio.Future[LocalPlace | None],
    ) -> LocalPlace | PeerPlace:
        """Wait for a slot here, and ask peers with growing pauses."""
        pause = ASK_AGAIN_SECONDS
        while True:
            await asyncio.wait((waiter,), timeout=pause)
            if waiter.done():
                return self._own_place(waiter.result())
            peer = await self._claims.claim(req)
            if peer is not None:
                self._metrics.incr('handed-over')
                return peer
            pause = min(pause * 2, MAX_ASK_AGAIN_SECONDS)

    def _own_place(self, place: LocalPlace | None) -> LocalPlace:
        if place is None:
            raise self._expired()
        return place

    def _expired(self) -> NotRunError:
        self._metrics.incr('refused.expired')
        retry_after = self._admission.retry_after(time.monotonic())
        return NotRunError('no slot before the deadline', retry_after)

    def _give_up(
        self,
        ticket: Ticket,
        waiter: asyncio.Future[LocalPlace | None],
    ) -> None:
        self._admission.cancel(ticket)
        if waiter.done() and not waiter.cancelled():
            place = waiter.result()
            if place is not None:
                place.release()
                self.pump()
        waiter.cancel()

    async def _wait_for_peer(self, req: Request) -> PeerPlace:
        """Ask peers a few more times, and no longer than the deadline."""
        pause = ASK_AGAIN_SECONDS
        for _ in range(MAX_PEER_ROUNDS):
            if time.monotonic() + pause >= req.info.deadline:
                break
            await asyncio.sleep(pause)
            place = await self._claims.claim(req)
            if place is not None:
                self._metrics.incr('handed-over')
                return place
            pause = min(pause * 2, MAX_ASK_AGAIN_SECONDS)
        self._metrics.incr('refused.no-peer')
        raise NotRunError('no instance has a free slot')


def _resolve(ticket: Ticket, place: LocalPlace | None) -> bool:
    """Tell a waiting request; False if it no longer waits."""
    waiter = ticket.waiter
    if not isinstance(waiter, asyncio.Future) or waiter.done():
        return False
    waiter.set_result(place)
    return True
