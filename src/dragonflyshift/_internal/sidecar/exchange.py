"""One request and its answer over a stream between two sidecars.

The end that passes a request on sends ``RequestHead`` and the body; the end
that runs it answers with ``ResponseHead`` and the body, or says with
``ExchangeFailed`` whether it may have run. ``KeepAlive`` fills the silence,
so that a stream whose other end is gone is noticed within its limit.
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
    AnswerSink,
    HeaderList,
    Request,
    RequestBody,
    RequestInfo,
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
async def running(
    coroutine: Coroutine[Any, Any, None],
) -> AsyncIterator[asyncio.Task[None]]:
    """Run a coroutine in a task for as long as the block lasts."""
    task = asyncio.create_task(coroutine)
    try:
        yield task
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, DragonflyshiftError):
            await task


async def send_keepalives(stream: MessageStream) -> None:
    """Tell the other end at times that this one still works."""
    with contextlib.suppress(PeerError):
        while True:
            await asyncio.sleep(KEEPALIVE_PERIOD_SECONDS)
            await stream.send(KeepAlive())


async def receive_within(stream: MessageStream, limit: float) -> Message:
    """Receive a message; raise PeerError after ``limit`` s of silence."""
    try:
        async with asyncio.timeout(limit):
            return await stream.receive()
    except TimeoutError as exc:
        raise PeerError('the peer went silent') from exc


def head_of(req: RequestInfo, tag: int, claim_id: int) -> RequestHead:
    """Describe a request for a peer."""
    left = max(0, req.deadline - time.monotonic())
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
        timeout_ms=int(left * MS_PER_SECOND),
    )


def info_of(head: RequestHead) -> RequestInfo:
    """Read a peer's description of a request."""
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


async def pass_on(
    stream: MessageStream,
    head: RequestHead,
    req: Request,
    sink: AnswerSink,
) -> None:
    """Have a peer run a request, and hand its answer to ``sink``.

    Raises RunFailedError; once the head was sent, only the peer's own word
    makes a failure "not run".
    """
    try:
        await stream.send(head)
        async with (
            running(_send_body(stream, req)),
            running(send_keepalives(stream)),
        ):
            await _receive_answer(stream, sink)
    except (PeerError, WireError) as exc:
        raise RunFailedError(OutcomeKind.UNKNOWN, exc.message) from exc
    finally:
        stream.abort()


async def _send_body(stream: MessageStream, req: Request) -> None:
    async for chunk in req.body.chunks():
        await stream.send(BodyChunk(chunk, end=False))
    await stream.send(BodyChunk(b'', end=True))


async def _receive_answer(stream: MessageStream, sink: AnswerSink) -> None:
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
    """Take in the rest of a request; cut it when the stream ends.

    Returns only when the stream is lost: the other end closes it when it no
    longer wants the answer.
    """
    try:
        while True:
            message = await receive_within(stream, SILENCE_LIMIT_SECONDS)
            if isinstance(message, BodyChunk):
                await body.feed_slowly(message.data, message.end)
    except (PeerError, WireError):
        body.cut()


class PeerSink(AnswerSink):
    """Send an answer to the sidecar that passed the request on."""

    def __init__(self, stream: MessageStream) -> None:
        """Bind the stream."""
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
        """End a whole answer."""
        await self._stream.send(BodyChunk(b'', end=True))

    async def abort(self) -> None:
        """Break the stream, so that the peer sees a broken answer."""
        self._stream.abort()


async def send_failed(stream: MessageStream, exc: RunFailedError) -> None:
    """Tell a peer how its request ended."""
    await stream.send(
        ExchangeFailed(
            FailureKind(exc.kind.value),
            exc.reason,
            int(exc.retry_after * MS_PER_SECOND),
        ),
    )
