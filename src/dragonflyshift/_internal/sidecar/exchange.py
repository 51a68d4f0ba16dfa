"""One request and its response over a stream between two sidecars.

The forwarding side sends ``RequestHead`` and the body. The side that runs the
request replies with ``ResponseHead`` and the body, or with ``ExchangeFailed``,
which states whether the request may have run. Both sides send ``KeepAlive``
periodically, so that each detects within ``SILENCE_LIMIT_SECONDS`` that the
other one is gone.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    PeerError,
    WireError,
)
from dragonflyshift._internal.models import OutcomeKind
from dragonflyshift._internal.sidecar.classify import MS_PER_SECOND
from dragonflyshift._internal.sidecar.failures import RunFailedError
from dragonflyshift._internal.sidecar.request import (
    HeaderList,
    Request,
    RequestBody,
    RequestInfo,
    ResponseSink,
)
from dragonflyshift._internal.wire.messages import (
    BodyChunk,
    ExchangeFailed,
    FailureKind,
    KeepAlive,
    Message,
    RequestHead,
    ResponseHead,
)
from dragonflyshift._internal.wire.stream import MessageStream

KEEPALIVE_PERIOD_SECONDS = 1.0
SILENCE_LIMIT_SECONDS = 3.5


@contextlib.asynccontextmanager
async def background_task(
    coroutine: Coroutine[Any, Any, None],
) -> AsyncIterator[asyncio.Task[None]]:
    """Run a coroutine in a task that is cancelled when the block ends."""
    task = asyncio.create_task(coroutine)
    try:
        yield task
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, DragonflyshiftError):
            await task


async def send_keepalives(stream: MessageStream) -> None:
    """Send keep-alive messages until the stream is lost."""
    with contextlib.suppress(PeerError):
        while True:
            await asyncio.sleep(KEEPALIVE_PERIOD_SECONDS)
            await stream.send(KeepAlive())


async def receive_within(stream: MessageStream, limit: float) -> Message:
    """Receive a message; raise PeerError after ``limit`` seconds."""
    try:
        async with asyncio.timeout(limit):
            return await stream.receive()
    except TimeoutError as exc:
        raise PeerError('the peer went silent') from exc


def build_request_head(
    req: RequestInfo,
    tag: int,
    claim_id: int,
) -> RequestHead:
    """Build the message that describes a request to a peer."""
    remaining = max(0, req.deadline - time.monotonic())
    return RequestHead(
        claim_id=claim_id,
        tag=tag,
        method=req.method,
        target=req.target,
        headers=req.headers,
        idempotent=req.idempotent,
        key=req.key,
        client=req.client,
        trace=req.trace,
        timeout_ms=int(remaining * MS_PER_SECOND),
    )


def parse_request_head(head: RequestHead) -> RequestInfo:
    """Return the request that a peer's message describes."""
    return RequestInfo(
        method=head.method,
        target=head.target,
        headers=head.headers,
        deadline=time.monotonic() + head.timeout_ms / MS_PER_SECOND,
        idempotent=head.idempotent,
        streaming=False,
        client=head.client,
        trace=head.trace,
        key=head.key,
    )


async def forward_request(
    stream: MessageStream,
    head: RequestHead,
    req: Request,
    sink: ResponseSink,
) -> None:
    """Run a request at a peer, and send its response to ``sink``.

    Raises RunFailedError. The outcome is "not run" only if the peer itself
    reports so, because the request may run as soon as the head is sent.
    """
    try:
        await stream.send(head)
        async with (
            background_task(_send_body(stream, req)),
            background_task(send_keepalives(stream)),
        ):
            await _receive_response(stream, sink)
    except (PeerError, WireError) as exc:
        raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
    finally:
        stream.abort()


async def _send_body(stream: MessageStream, req: Request) -> None:
    async for chunk in req.body.chunks():
        await stream.send(BodyChunk(chunk, end=False))
    await stream.send(BodyChunk(b'', end=True))


async def _receive_response(stream: MessageStream, sink: ResponseSink) -> None:
    while True:
        message = await receive_within(stream, SILENCE_LIMIT_SECONDS)
        if isinstance(message, ExchangeFailed):
            raise RunFailedError(
                OutcomeKind(message.kind.value),
                message.reason,
                message.retry_after_ms / MS_PER_SECOND,
            )
        if isinstance(message, ResponseHead):
            await sink.send_head(message.status, message.headers)
        elif isinstance(message, BodyChunk):
            await sink.send_chunk(message.data)
            if message.end:
                await sink.finish()
                return


async def receive_body(stream: MessageStream, body: RequestBody) -> None:
    """Receive the body of a request; truncate it when the stream ends.

    Returns only when the stream is lost. The peer closes the stream when it
    no longer needs the response.
    """
    try:
        while True:
            message = await receive_within(stream, SILENCE_LIMIT_SECONDS)
            if isinstance(message, BodyChunk):
                await body.feed_with_backpressure(message.data, message.end)
    except (PeerError, WireError):
        body.mark_truncated()


class PeerSink(ResponseSink):
    """Sends a response to the sidecar that forwarded the request."""

    def __init__(self, stream: MessageStream) -> None:
        """Send on ``stream``."""
        self._stream = stream
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self._started

    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Send status and headers."""
        self._started = True
        await self._stream.send(ResponseHead(status, headers))

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the peer is slow."""
        await self._stream.send(BodyChunk(chunk, end=False))

    async def finish(self) -> None:
        """Mark the response as complete."""
        await self._stream.send(BodyChunk(b'', end=True))

    async def abort(self) -> None:
        """Abort the stream, so that the peer detects a truncated response."""
        self._stream.abort()


async def send_exchange_failure(
    stream: MessageStream,
    exc: RunFailedError,
) -> None:
    """Report the failure of a request to a peer."""
    await stream.send(
        ExchangeFailed(
            FailureKind(exc.kind.value),
            exc.reason,
            int(exc.retry_after * MS_PER_SECOND),
        ),
    )
