"""An HTTP/3 answer, read whole or part by part."""

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
    def abandon(self, stream_id: int) -> None:
        """Cancel a stream in both directions."""

    @abstractmethod
    def forget(self, stream_id: int) -> None:
        """Drop a stream whose answer has been read."""


@frozen
class Answer:
    """What came back for one request.

    ``failure`` tells why an incomplete answer ended: ``timeout``,
    ``reset:<code>``, ``short`` or the reason the connection was lost.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    failure: str = ''

    @property
    def outcome(self) -> str:
        """Tell whether the request was answered, not run or is unknown."""
        if self.failure == f'reset:{int(ErrorCode.H3_REQUEST_REJECTED)}':
            return NOT_RUN
        if self.status:
            return self.headers.get(OUTCOME_HEADER, '')
        return UNKNOWN

    @property
    def flow_broken(self) -> bool:
        """Tell whether a flow was lost or an answer was cut."""
        return bool(self.failure) and self.outcome != NOT_RUN


@define(eq=False)
class Stream:
    """One request whose answer can be read as it comes."""

    owner: 'StreamOwner'
    stream_id: int
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    ended: bool = False
    failure: str = ''
    _parts: list[bytes] = field(factory=list)
    _news: asyncio.Event = field(factory=asyncio.Event)

    def take_event(self, event: H3Event) -> None:
        """Take note of a head or a part of the body."""
        if isinstance(event, HeadersReceived):
            self._take_headers(event)
        elif isinstance(event, DataReceived):
            self._parts.append(event.data)
            self.ended = self.ended or event.stream_ended
        self._news.set()

    def fail(self, reason: str) -> None:
        """End the answer before its time."""
        if not self.ended:
            self.ended = True
            self.failure = reason
        self._news.set()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body part by part until the answer ends."""
        while True:
            while self._parts:
                yield self._parts.pop(0)
            if self.ended:
                return
            self._news.clear()
            await self._news.wait()

    async def answer(self, timeout: float) -> Answer:
        """Read the whole answer; an incomplete one if it takes too long."""
        body = bytearray()
        try:
            async with asyncio.timeout(timeout):
                async for part in self.parts():
                    body.extend(part)
        except TimeoutError:
            self.cancel('timeout')
        expected = self.headers.get('content-length')
        if not self.failure and expected not in (None, str(len(body))):
            self.failure = 'short'
        self.owner.forget(self.stream_id)
        complete = not self.failure
        return Answer(
            self.status,
            self.headers,
            bytes(body),
            complete,
            self.failure,
        )

    def cancel(self, reason: str = 'cancelled') -> None:
        """Tell the server that the answer is no longer wanted."""
        self.fail(reason)
        self.owner.abandon(self.stream_id)

    def _take_headers(self, event: HeadersReceived) -> None:
        fields = {
            name.decode('ascii'): text.decode('latin-1')
            for name, text in event.headers
        }
        status = int(fields.pop(':status', '0'))
        if status >= 200:
            self.status = status
            self.headers = fields
        self.ended = self.ended or event.stream_ended
