"""Grant slots to peers and run the requests that they forward."""

import asyncio
import functools
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any

from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    WireError,
)
from dragonflyshift._internal.limits import Admission
from dragonflyshift._internal.routing import OfferQueue
from dragonflyshift._internal.sidecar.classify import MS_PER_SECOND
from dragonflyshift._internal.sidecar.exchange import (
    PeerSink,
    background_task,
    parse_request_head,
    receive_body,
    receive_within,
    send_exchange_failure,
    send_keepalives,
)
from dragonflyshift._internal.sidecar.failures import (
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.local_runner import LocalRunner
from dragonflyshift._internal.sidecar.request import (
    Request,
    RequestBody,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.slot import Slot
from dragonflyshift._internal.state import ClaimTable
from dragonflyshift._internal.telemetry import Metrics, SpanContext, Tracing
from dragonflyshift._internal.wire.messages import (
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
    Message,
    RequestHead,
)
from dragonflyshift._internal.wire.stream import MessageStream

logger = logging.getLogger(__name__)

LEASE_SECONDS = 2.0


class ClaimServer:
    """Grants slots to peers; each grant is a lease on one stream."""

    def __init__(
        self,
        identity: SidecarIdentity,
        admission: Admission,
        runner: LocalRunner,
        accepts_work: Callable[[], bool],
        offers: OfferQueue,
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        """Grant claims only while ``accepts_work`` returns true."""
        self._identity = identity
        self._admission = admission
        self._runner = runner
        self._accepts_work = accepts_work
        self._offers = offers
        self._metrics = metrics
        self._tracing = tracing
        self.claims = ClaimTable(LEASE_SECONDS)

    async def serve(self, stream: MessageStream, message: Message) -> None:
        """Grant or refuse a claim and run the request that follows."""
        if not isinstance(message, ClaimRequest):
            raise WireError(f'expected a claim, got {type(message).__name__}')
        reason = self._refusal_reason(message)
        if reason:
            self._metrics.incr('claims-refused')
            await stream.send(self._build_refusal(reason))
            return
        self._metrics.incr('claims-granted')
        await self._hold_slot(stream)

    def _refusal_reason(self, claim: ClaimRequest) -> str:
        if claim.tag != self._identity.tag:
            self._metrics.incr('dropped.wrong-service')
            return 'another service'
        if not self._accepts_work():
            return 'takes no new work'
        now = time.monotonic()
        if not self._admission.try_start(now):
            self._offers.add(claim.requester, now)
            return 'no free slot'
        return ''

    def _build_refusal(self, reason: str) -> ClaimRefused:
        now = time.monotonic()
        return ClaimRefused(
            reason=reason,
            retry_after_ms=int(
                self._admission.retry_after(now) * MS_PER_SECOND,
            ),
            free_slots=self._admission.free_slots(now),
            queued=self._admission.queued,
        )

    async def _hold_slot(self, stream: MessageStream) -> None:
        """Hold a slot until its request has run or the lease has ended."""
        slot = Slot(self._admission)
        try:
            head = await self._receive_request(stream)
            if head is None:
                await send_exchange_failure(
                    stream, NotRunError('the lease ended')
                )
            else:
                self._admission.record_start(time.monotonic(), head.client)
                run = functools.partial(self._run_traced, slot)
                await run_for_peer(stream, head, run)
        finally:
            self.claims.expire(time.monotonic())
            slot.release()

    async def _receive_request(
        self,
        stream: MessageStream,
    ) -> RequestHead | None:
        """Grant a claim and return its request, or None if it is not valid.

        A request is not valid if it comes after the end of the lease or
        names another claim.
        """
        now = time.monotonic()
        claim = self.claims.grant(now)
        await stream.send(
            ClaimGranted(
                claim_id=claim.claim_id,
                lease_ms=int(LEASE_SECONDS * MS_PER_SECOND),
                free_slots=self._admission.free_slots(now),
                queued=self._admission.queued,
            ),
        )
        head = await receive_within(stream, LEASE_SECONDS)
        if not isinstance(head, RequestHead):
            raise WireError(
                f'expected a request after a claim, got {type(head).__name__}',
            )
        redeemed = self.claims.redeem(head.claim_id, time.monotonic())
        return head if redeemed else None

    async def _run_traced(
        self,
        slot: Slot,
        req: Request,
        sink: ResponseSink,
    ) -> None:
        slot.start()
        context = SpanContext.decode(req.info.trace)
        with self._tracing.start_span(
            'run-for-peer',
            context.trace_id,
            context.span_id,
            {'endpoint': str(self._identity.address)},
        ):
            await self._runner.run(req, sink)


async def run_for_peer(
    stream: MessageStream,
    head: RequestHead,
    run: Callable[[Request, ResponseSink], Coroutine[Any, Any, None]],
) -> None:
    """Run a request of a peer and send the response to it.

    The request is cancelled when the peer closes the stream.
    """
    body = RequestBody()
    req = Request(parse_request_head(head), body)
    sink = PeerSink(stream)
    async with (
        background_task(receive_body(stream, body)) as body_task,
        background_task(send_keepalives(stream)),
        background_task(run(req, sink)) as run_task,
    ):
        body_task.add_done_callback(lambda _task: run_task.cancel())
        await asyncio.wait((run_task,))
        if run_task.cancelled():
            logger.debug('peer-disconnected')
            return
        await _report_failure(stream, sink, run_task.exception())


async def _report_failure(
    stream: MessageStream,
    sink: ResponseSink,
    exc: BaseException | None,
) -> None:
    """Report the failure of a request to the peer; do nothing if none."""
    if exc is None:
        return
    if isinstance(exc, RunFailedError) and not sink.started:
        await send_exchange_failure(stream, exc)
        return
    stream.abort()
    if not isinstance(exc, DragonflyshiftError):
        raise exc
