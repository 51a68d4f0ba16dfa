"""Find a slot for a request: here, at a peer, or after a wait.

A request waits at the sidecar of its flow, in a bounded queue. While it
waits, peers are asked again at times, and a peer that refused offers a slot
when one is free there; so a flow doesn't pin its work to a full instance
while another one is idle.
"""

import asyncio
import time
from collections.abc import Callable

from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.routing import OfferQueue
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.local import LocalRunner
from dragonflyshift._internal.sidecar.peers import PeerClaims, PeerPlace
from dragonflyshift._internal.sidecar.queueing import (
    Expired,
    LocalPlace,
    Offered,
    RequestQueue,
    Waiting,
    Wakeup,
)
from dragonflyshift._internal.sidecar.request import Request
from dragonflyshift._internal.sidecar.slot import Slot
from dragonflyshift._internal.telemetry import Metrics

ASK_AGAIN_SECONDS = 0.1
MAX_ASK_AGAIN_SECONDS = 1.6
MAX_PEER_ROUNDS = 4

OfferSender = Callable[[Address], None]


class SlotFinder:
    """Place requests on slots."""

    def __init__(
        self,
        admission: Admission,
        runner: LocalRunner,
        claims: PeerClaims,
        runs_here: Callable[[], bool],
        send_offer: OfferSender,
        metrics: Metrics,
    ) -> None:
        """Use own slots only while ``runs_here`` says so."""
        self._admission = admission
        self._runner = runner
        self._claims = claims
        self._runs_here = runs_here
        self._send_offer = send_offer
        self._metrics = metrics
        self._queue = RequestQueue(admission, runner, metrics)
        self.offers = OfferQueue()

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
        if own and req.info.streaming:
            place = await self._ask_freer(req)
            if place is not None:
                return place
        if own and self._admission.try_start(time.monotonic()):
            return LocalPlace(self._runner, Slot(self._admission))
        place = await self._ask_peers(req)
        if place is not None:
            return place
        if own:
            return await self._wait(req)
        return await self._wait_for_peer(req)

    def pump(self) -> None:
        """Move the queue on: free slots go to who waits, here or at peers."""
        if not self._runs_here():
            self._queue.move_all()
            return
        self._queue.start_ready()
        now = time.monotonic()
        if self._admission.free_slots(now) > 0:
            asker = self.offers.pop(now)
            if asker is not None:
                self._metrics.incr('offers')
                self._send_offer(asker)

    def offered(self, peer: Address) -> None:
        """Let the next request that waits claim a peer's free slot."""
        self._queue.wake_next(Offered(peer))

    async def _wait(self, req: Request) -> LocalPlace | PeerPlace:
        while True:
            waiting = self._queue.enter(req)
            try:
                wakeup = await self._woken(req, waiting)
            except BaseException:
                self._queue.leave(waiting)
                raise
            if isinstance(wakeup, LocalPlace | PeerPlace):
                return wakeup
            if isinstance(wakeup, Expired):
                raise self._queue.refusal()
            if not isinstance(wakeup, Offered):
                return await self._wait_for_peer(req)
            place = await self._claims.claim_at(wakeup.peer, req)
            if place is not None:
                self._metrics.incr('handed-over')
                return place

    async def _woken(
        self,
        req: Request,
        waiting: Waiting,
    ) -> Wakeup | PeerPlace:
        """Wait for what comes first, asking peers with growing pauses."""
        pause = ASK_AGAIN_SECONDS
        while True:
            await asyncio.wait((waiting.future,), timeout=pause)
            if waiting.future.done():
                return waiting.future.result()
            place = await self._ask_peers(req)
            if place is not None:
                self._queue.leave(waiting)
                return place
            pause = min(pause * 2, MAX_ASK_AGAIN_SECONDS)

    async def _ask_freer(self, req: Request) -> PeerPlace | None:
        """Move a long request to a peer that holds fewer of them."""
        if self._admission.running == 0:
            return None
        free = self._admission.free_slots(time.monotonic())
        place = await self._claims.claim_freer(req, free)
        if place is not None:
            self._metrics.incr('relieved')
        return place

    async def _ask_peers(self, req: Request) -> PeerPlace | None:
        place = await self._claims.claim(req)
        if place is not None:
            self._metrics.incr('handed-over')
        return place

    async def _wait_for_peer(self, req: Request) -> PeerPlace:
        """Ask peers a few more times, and no longer than the deadline."""
        pause = ASK_AGAIN_SECONDS
        for _ in range(MAX_PEER_ROUNDS):
            in_time = time.monotonic() + pause < req.info.deadline
            if not in_time or not self._claims.has_peers():
                break
            await asyncio.sleep(pause)
            place = await self._ask_peers(req)
            if place is not None:
                return place
            pause = min(pause * 2, MAX_ASK_AGAIN_SECONDS)
        self._metrics.incr('refused.no-peer')
        raise NotRunError('no instance has a free slot')
