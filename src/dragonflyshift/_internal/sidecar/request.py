"""A client's request and the abstract sink for its response."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable

from attrs import define, field, frozen

from dragonflyshift._internal.exceptions import SidecarError

HeaderList = tuple[tuple[bytes, bytes], ...]

BODY_HIGH_WATER_BYTES = 512 * 1024
SAFE_METHODS = frozenset((b'GET', b'HEAD', b'OPTIONS'))

OUTCOME_HEADER = b'x-dragonflyshift-outcome'
KEY_HEADER = b'idempotency-key'
TIMEOUT_HEADER = b'x-request-timeout-ms'
RETRY_AFTER_HEADER = b'retry-after'


class RequestCutError(SidecarError):
    """The client ended its request before the body was complete."""


def _ignore_change(_change: int) -> None:
    """Ignore a change of the unread bytes."""


class RequestBody:
    """A request body that is read while it arrives, with backpressure.

    ``note_unread`` is called with each change of the number of unread bytes.
    """

    def __init__(
        self,
        note_unread: Callable[[int], None] = _ignore_change,
    ) -> None:
        """Create an empty body that is not complete."""
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._ended = False
        self._truncated = False
        self._replayable = True
        self._data_arrived = asyncio.Event()
        self._consumed = asyncio.Event()
        self._note_unread = note_unread

    @property
    def ended(self) -> bool:
        """Whether the whole body has arrived."""
        return self._ended

    def feed(self, chunk: bytes, ended: bool) -> None:
        """Append a chunk; ``ended`` marks the last one."""
        if chunk:
            self._chunks.append(chunk)
            self._add_unread(len(chunk))
        self._ended = self._ended or ended
        self._data_arrived.set()

    @property
    def replayable(self) -> bool:
        """Whether nothing has been read, so that it can all be sent again."""
        return self._replayable

    async def feed_with_backpressure(self, chunk: bytes, ended: bool) -> None:
        """Append a chunk, and wait while too many bytes are unread."""
        self.feed(chunk, ended)
        while (
            self._unread_bytes >= BODY_HIGH_WATER_BYTES and not self._truncated
        ):
            self._consumed.clear()
            await self._consumed.wait()

    def mark_truncated(self) -> None:
        """Record that the rest of the body will not arrive."""
        self._truncated = True
        self._data_arrived.set()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise RequestCutError if it was truncated."""
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._add_unread(-len(chunk))
                self._consumed.set()
                self._replayable = False
                yield chunk
            if self._ended:
                return
            if self._truncated:
                raise RequestCutError('the request was cut')
            self._data_arrived.clear()
            await self._data_arrived.wait()

    def _add_unread(self, change: int) -> None:
        self._unread_bytes += change
        self._note_unread(change)


class ReplayBody:
    """A body in memory that can be sent repeatedly."""

    replayable = True

    def __init__(self, chunks: tuple[bytes, ...] = ()) -> None:
        """Store the chunks."""
        self._chunks = chunks

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; may be called repeatedly."""
        for chunk in self._chunks:
            yield chunk


@frozen
class RequestInfo:
    """The properties of a request.

    ``deadline`` is in monotonic time, ``client`` identifies the flow of the
    request, and ``trace`` is the encoded span context of its trace.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    deadline: float
    idempotent: bool
    streaming: bool
    client: bytes
    trace: bytes = b''
    key: bytes = b''


@define(eq=False)
class Request:
    """A request with its body, and the attempts made so far.

    ``may_have_run`` is set once an attempt ended with an unknown outcome. A
    later refusal then doesn't mean that the request has not run.
    """

    info: RequestInfo
    body: RequestBody | ReplayBody
    attempts: int = field(default=0)
    may_have_run: bool = field(default=False)

    @property
    def resendable(self) -> bool:
        """Whether another attempt can still send the whole body."""
        return self.body.replayable


class ResponseSink(ABC):
    """Receives the response to a request."""

    @abstractmethod
    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Send status and headers."""

    @abstractmethod
    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the receiver is slow.

        An empty part is allowed and has no effect.
        """

    @abstractmethod
    async def finish(self) -> None:
        """Mark the response as complete."""

    @abstractmethod
    async def abort(self) -> None:
        """Abort the response so that the receiver sees it as truncated."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether the status and headers have been sent."""


def find_header(headers: HeaderList, name: bytes) -> bytes:
    """Return the first value of a header; empty if it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return b''
