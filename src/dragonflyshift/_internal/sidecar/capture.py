"""A response sink that captures the response for repeated requests."""

import contextlib
from collections.abc import Iterator

from dragonflyshift._internal.exceptions import DragonflyshiftError
from dragonflyshift._internal.models import Outcome, OutcomeKind
from dragonflyshift._internal.sidecar.request import HeaderList, ResponseSink
from dragonflyshift._internal.state import without_body
from dragonflyshift._internal.state.outcomes import BODY_LIMIT_BYTES


class CapturingSink(ResponseSink):
    """Buffers a response until it is complete, so that it can be stored.

    The response isn't sent to the client meanwhile, since a client that
    stops reading would delay the outcome and all repetitions of the request.
    Only a response that is too long to be stored is streamed to the client.
    If sending fails, the client is detached; the request runs on.
    """

    def __init__(self, sink: ResponseSink) -> None:
        """Stream a response that is too long to ``sink``."""
        self._sink: ResponseSink | None = sink
        self._status = 0
        self._headers: HeaderList = ()
        self._buffered = bytearray()
        self._streaming = False

    @property
    def started(self) -> bool:
        """Whether the status and headers have been received."""
        return self._status != 0

    def detach(self) -> None:
        """Send nothing more to the client."""
        self._sink = None

    def outcome(self) -> Outcome:
        """Return the complete response, without a body that is too long."""
        outcome = Outcome(
            OutcomeKind.ANSWERED,
            self._status,
            self._headers,
            bytes(self._buffered),
        )
        return without_body(outcome) if self._streaming else outcome

    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Store the status and headers."""
        self._status = status
        self._headers = headers

    async def send_chunk(self, chunk: bytes) -> None:
        """Buffer a part of the body, or stream it if the body is too long."""
        if self._streaming:
            await self._forward_chunk(chunk)
            return
        self._buffered.extend(chunk)
        if len(self._buffered) > BODY_LIMIT_BYTES:
            await self._start_streaming()

    async def finish(self) -> None:
        """Complete a streamed response."""
        if self._streaming and self._sink is not None:
            with self._detached_on_failure():
                await self._sink.finish()

    async def abort(self) -> None:
        """Abort a streamed response."""
        if self._streaming and self._sink is not None:
            with self._detached_on_failure():
                await self._sink.abort()

    async def _start_streaming(self) -> None:
        self._streaming = True
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.send_head(self._status, self._headers)
        buffered = bytes(self._buffered)
        self._buffered.clear()
        await self._forward_chunk(buffered)

    async def _forward_chunk(self, chunk: bytes) -> None:
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.send_chunk(chunk)

    @contextlib.contextmanager
    def _detached_on_failure(self) -> Iterator[None]:
        try:
            yield
        except DragonflyshiftError:
            self.detach()
