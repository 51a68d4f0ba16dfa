"""What a sidecar does for its peers: grant claims and run requests."""

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
    info_of,
    receive_body,
    receive_within,
    running,
    send_failed,
    send_keepalives,
)
from dragonflyshift._internal.sidecar.failures import (
    NotRunError,
    RunFailedError,
)
from dragonflyshift._internal.sidecar.identity import SidecarIdentity
from dragonflyshift._internal.sidecar.local import LocalRunner
from dragonflyshift._internal.sidecar.request import (
    AnswerSink,
    Request,
    RequestBody,
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
    """Grant slots to peers; each grant is a lease on one stream."""

    def __init__(
        self,
        identity: SidecarIdentity,
        admission: Admission,
        runner: LocalRunner,
        accepts: Callable[[], bool],
        offers: OfferQueue,
        metrics: Metrics,
        tracing: Tracing,
    ) -> None:
        """Grant only while ``accepts`` says that new work is taken."""
        self._identity = identity
        self._admission = admission
        self._runner = runner
        self._accepts = accepts
        self._offers = offers
        self._metrics = metrics
        self._tracing = tracing
        self.claims = ClaimTable(LEASE_SECONDS)

    async def serve(self, stream: MessageStream, message: Message) -> None:
        """Answer a claim and run the request that follows."""
        if not isinstance(message, ClaimRequest):
            raise WireError('a claim is expected')
        reason = self._refusal(message)
        if reason:
            self._metrics.incr('claims-refused')
            await stream.send(self._refused(reason))
            return
        self._metrics.incr('claims-granted')
        await self._hold_slot(stream)

    def _refusal(self, claim: ClaimRequest) -> str:
        if claim.tag != self._identity.tag:
            self._metrics.incr('dropped.wrong-service')
            return 'another service'
        if not self._accepts():
            return 'takes no new work'
        now = time.monotonic()
        if not self._admission.try_start(now):
            self._offers.add(claim.asker, now)
            return 'no free slot'
        return ''

    def _refused(self, reason: str) -> ClaimRefused:
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
        """Hold a slot until its request ran or the lease ended."""
        slot = Slot(self._admission)
        try:
            head = await self._await_request(stream)
            if head is None:
                await send_failed(stream, NotRunError('the lease ended'))
            else:
                run = functools.partial(self._run_traced, slot)
                await run_for_peer(stream, head, run)
        finally:
            self.claims.expire(time.monotonic())
            slot.give_back()

    async def _await_request(
        self,
        stream: MessageStream,
    ) -> RequestHead | None:
        """Grant a claim; return the request under it, None if too late."""
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
            raise WireError('a request is expected under the claim')
        redeemed = self.claims.redeem(head.claim_id, time.monotonic())
        return head if redeemed else None

    async def _run_traced(
        self,
        slot: Slot,
        req: Request,
        sink: AnswerSink,
    ) -> None:
        slot.begin()
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
    run: Callable[[Request, AnswerSink], Coroutine[Any, Any, None]],
) -> None:
    """Run a peer's request and send it the answer.

    The request is given up when the peer closes the stream.
    """
    body = RequestBody()
    req = Request(info_of(head), body)
    sink = PeerSink(stream)
    async with (
        running(receive_body(stream, body)) as reader,
        running(send_keepalives(stream)),
        running(run(req, sink)) as runner,
    ):
        reader.add_done_callback(lambda _task: runner.cancel())
        await asyncio.wait((runner,))
        if runner.cancelled():
            logger.debug('peer-gone')
            return
        await _report(stream, sink, runner.exception())


async def _report(
    stream: MessageStream,
    sink: AnswerSink,
    exc: BaseException | None,
) -> None:
    """Send a peer the failure of its request, if there was one."""
    if exc is None:
        return
    if isinstance(exc, RunFailedError) and not sink.started:
        await send_failed(stream, exc)
        return
    stream.abort()
    if not isinstance(exc, DragonflyshiftError):
        raise exc
