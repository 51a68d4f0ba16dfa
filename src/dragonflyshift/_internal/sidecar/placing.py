"""Find a slot for a request: local, at a peer, or after queueing.

A request waits in a bounded queue at the sidecar that holds its flow. While
it waits, the sidecar periodically repeats its claims at peers, and a peer
that refused a claim sends an offer once it has a free slot. Requests of a
flow are therefore not tied to a full instance while another one is idle.
"""

import asyncio
import time
from collections.abc import Callable

from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.routing import OfferQueue
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.local_runner import LocalRunner
from dragonflyshift._internal.sidecar.peers import PeerClaims, PeerReservation
from dragonflyshift._internal.sidecar.request import Request
from dragonflyshift._internal.sidecar.request_queue import (
    DeadlineExpired,
    Displaced,
    LocalReservation,
    QueuedRequest,
    RequestQueue,
    SlotOffered,
    Wakeup,
)
from dragonflyshift._internal.sidecar.slot import Slot
from dragonflyshift._internal.telemetry import Metrics

# The first interval between two rounds of claims. It doubles each time, up to
# MAX_CLAIM_RETRY_SECONDS.
CLAIM_RETRY_SECONDS = 0.1
MAX_CLAIM_RETRY_SECONDS = 1.6
# The number of repeated rounds for a request that isn't in the local queue.
MAX_CLAIM_ROUNDS = 4

OfferSender = Callable[[Address], None]


class SlotFinder:
    """Reserves slots for requests, locally or at peers."""

    def __init__(
        self,
        admission: Admission,
        runner: LocalRunner,
        claims: PeerClaims,
        accepts_work: Callable[[], bool],
        send_offer: OfferSender,
        metrics: Metrics,
        runs_own_requests: Callable[[], bool] = bool,
    ) -> None:
        """Create a finder with an empty queue.

        ``accepts_work`` returns whether local slots may be used, and
        ``send_offer`` offers a free slot to a peer. ``runs_own_requests``
        returns whether local slots may be used if no peer grants one.
        """
        self._admission = admission
        self._runner = runner
        self._claims = claims
        self._accepts_work = accepts_work
        self._send_offer = send_offer
        self._metrics = metrics
        self._runs_own_requests = runs_own_requests
        self._gauges: dict[str, float] = {}
        self._queue = RequestQueue(admission, runner, metrics)
        self.offers = OfferQueue()

    async def find(
        self,
        req: Request,
        *,
        skip_local: bool,
    ) -> LocalReservation | PeerReservation:
        """Reserve a slot for a request.

        With ``skip_local`` only peers are considered, because the local
        backend server has just failed the request. Raises NotRunError if
        no slot is found.
        """
        use_local = self._accepts_work() and not skip_local
        if use_local and req.info.streaming:
            reservation = await self._claim_less_loaded(req)
            if reservation is not None:
                return reservation
        now = time.monotonic()
        if use_local and self._admission.try_start(now):
            self._admission.record_start(now, req.info.client)
            return LocalReservation(self._runner, Slot(self._admission))
        reservation = await self._claim_from_peers(req)
        if reservation is not None:
            return reservation
        if use_local:
            return await self._wait_in_queue(req)
        return await self._retry_peers(req, skip_local=skip_local)

    def dispatch(self) -> None:
        """Assign free slots to queued requests, or offer one to a peer."""
        if not self._accepts_work():
            self._queue.move_all_to_peers()
            return
        self._queue.start_ready()
        now = time.monotonic()
        if self._admission.free_slots(now) > 0:
            requester = self.offers.pop(now)
            if requester is not None:
                self._metrics.incr('offers')
                self._send_offer(requester)

    def publish_gauges(self, now: float) -> None:
        """Send the gauges of the admission that have changed."""
        gauges = self._admission.gauges(now)
        for name, level in gauges.items():
            if self._gauges.get(name) != level:
                self._metrics.gauge(name, level)
        self._gauges = gauges

    def handle_offer(self, peer: Address) -> None:
        """Wake the next queued request to claim the offered slot."""
        self._queue.wake_next(SlotOffered(peer))

    async def _wait_in_queue(
        self, req: Request
    ) -> LocalReservation | PeerReservation:
        while True:
            queued = self._queue.enqueue(req)
            try:
                wakeup = await self._await_wakeup(req, queued)
            except BaseException:
                self._queue.remove(queued)
                raise
            if isinstance(wakeup, LocalReservation | PeerReservation):
                return wakeup
            if isinstance(wakeup, DeadlineExpired | Displaced):
                raise self._queue.refusal_error(wakeup)
            if not isinstance(wakeup, SlotOffered):
                return await self._retry_peers(req, skip_local=False)
            reservation = await self._claims.claim_at(wakeup.peer, req)
            if reservation is not None:
                self._metrics.incr('handed-over')
                return reservation

    async def _await_wakeup(
        self,
        req: Request,
        queued: QueuedRequest,
    ) -> Wakeup | PeerReservation:
        """Wait for a wakeup, claiming at peers at growing intervals."""
        interval = CLAIM_RETRY_SECONDS
        while True:
            await asyncio.wait((queued.future,), timeout=interval)
            if queued.future.done():
                return queued.future.result()
            reservation = await self._claim_from_peers(req)
            if reservation is not None:
                self._queue.remove(queued)
                return reservation
            interval = min(interval * 2, MAX_CLAIM_RETRY_SECONDS)

    async def _claim_less_loaded(self, req: Request) -> PeerReservation | None:
        """Claim a slot for a streaming request at a less loaded peer."""
        if self._admission.running == 0:
            return None
        free = self._admission.free_slots(time.monotonic())
        reservation = await self._claims.claim_less_loaded(req, free)
        if reservation is not None:
            self._metrics.incr('relieved')
        return reservation

    async def _claim_from_peers(self, req: Request) -> PeerReservation | None:
        reservation = await self._claims.claim(req)
        if reservation is not None:
            self._metrics.incr('handed-over')
        return reservation

    async def _retry_peers(
        self,
        req: Request,
        *,
        skip_local: bool,
    ) -> LocalReservation | PeerReservation:
        """Repeat claims a limited number of times, within the deadline.

        Between two claims a local slot is taken if own requests may run here.
        """
        runs_own = bool if skip_local else self._runs_own_requests
        interval = CLAIM_RETRY_SECONDS
        for _ in range(MAX_CLAIM_ROUNDS):
            if runs_own() and self._admission.try_start(time.monotonic()):
                return LocalReservation(self._runner, Slot(self._admission))
            if not self._can_retry(req, interval, runs_own):
                break
            await asyncio.sleep(interval)
            reservation = await self._claim_from_peers(req)
            if reservation is not None:
                return reservation
            interval = min(interval * 2, MAX_CLAIM_RETRY_SECONDS)
        self._metrics.incr('refused.no-peer')
        raise NotRunError('no instance has a free slot')

    def _can_retry(
        self,
        req: Request,
        interval: float,
        runs_own: Callable[[], bool],
    ) -> bool:
        in_time = time.monotonic() + interval < req.info.deadline
        return in_time and (runs_own() or self._claims.has_peers())
