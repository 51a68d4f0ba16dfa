"""HTTP/3 request streams whose responses are read whole or incrementally."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from aioquic.h3.connection import ErrorCode
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from attrs import define, field, frozen

OUTCOME_HEADER = 'x-dragonflyshift-outcome'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


class StreamOwner(ABC):
    """The connection that a stream belongs to."""

    @abstractmethod
    def cancel_stream(self, stream_id: int) -> None:
        """Cancel a stream in both directions."""

    @abstractmethod
    def discard_stream(self, stream_id: int) -> None:
        """Remove a stream whose response has been read."""


@frozen
class Response:
    """The response to one request, or the part of it that was received.

    ``failure`` is the reason why a response is incomplete: ``timeout``,
    ``reset:<code>``, ``short`` or the reason the connection was lost.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    failure: str = ''

    @property
    def outcome(self) -> str:
        """The outcome header, NOT_RUN if rejected, UNKNOWN without a status."""
        if self.failure == f'reset:{int(ErrorCode.H3_REQUEST_REJECTED)}':
            return NOT_RUN
        if self.status:
            return self.headers.get(OUTCOME_HEADER, '')
        return UNKNOWN

    @property
    def flow_broken(self) -> bool:
        """Return whether the flow was lost or the response was truncated."""
        return bool(self.failure) and self.outcome != NOT_RUN


@define(eq=False)
class Stream:
    """One request whose response can be read incrementally."""

    owner: 'StreamOwner'
    stream_id: int
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    ended: bool = False
    failure: str = ''
    _parts: list[bytes] = field(factory=list)
    _updated: asyncio.Event = field(factory=asyncio.Event)

    def handle_event(self, event: H3Event) -> None:
        """Process headers or a part of the body."""
        if isinstance(event, HeadersReceived):
            self._handle_headers(event)
        elif isinstance(event, DataReceived):
            self._parts.append(event.data)
            self.ended = self.ended or event.stream_ended
        self._updated.set()

    def fail(self, reason: str) -> None:
        """Mark the response as failed unless it is complete."""
        if not self.ended:
            self.ended = True
            self.failure = reason
        self._updated.set()

    async def body_parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body until the response ends."""
        while True:
            while self._parts:
                yield self._parts.pop(0)
            if self.ended:
                return
            self._updated.clear()
            await self._updated.wait()

    async def read_response(self, timeout: float) -> Response:
        """Read and return the response.

        It is incomplete if it takes longer than ``timeout`` seconds.
        """
        body = bytearray()
        try:
            async with asyncio.timeout(timeout):
                async for part in self.body_parts():
                    body.extend(part)
        except TimeoutError:
            self.cancel('timeout')
        expected = self.headers.get('content-length')
        if not self.failure and expected not in (None, str(len(body))):
            self.failure = 'short'
        self.owner.discard_stream(self.stream_id)
        complete = not self.failure
        return Response(
            self.status,
            self.headers,
            bytes(body),
            complete,
            self.failure,
        )

    def cancel(self, reason: str = 'cancelled') -> None:
        """Cancel the request and record ``reason`` as the failure."""
        self.fail(reason)
        self.owner.cancel_stream(self.stream_id)

    def _handle_headers(self, event: HeadersReceived) -> None:
        fields = {
            name.decode('ascii'): text.decode('latin-1')
            for name, text in event.headers
        }
        status = int(fields.pop(':status', '0'))
        if status >= 200:
            self.status = status
            self.headers = fields
        self.ended = self.ended or event.stream_ended
