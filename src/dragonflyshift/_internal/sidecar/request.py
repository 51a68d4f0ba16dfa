"""A caller's request and the sink that takes its answer."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable

from attrs import define, field, frozen

from dragonflyshift._internal.exceptions import SidecarError

HeaderList = tuple[tuple[bytes, bytes], ...]

BODY_HIGH_BYTES = 512 * 1024
SAFE_METHODS = frozenset((b'GET', b'HEAD', b'OPTIONS'))

OUTCOME_HEADER = b'x-dragonflyshift-outcome'
KEY_HEADER = b'idempotency-key'
TIMEOUT_HEADER = b'x-request-timeout-ms'
RETRY_AFTER_HEADER = b'retry-after'


class RequestCutError(SidecarError):
    """The caller ended its request before the body was whole."""


def _ignore_level(_change: int) -> None:
    """Tell nobody."""


class RequestBody:
    """A request body as it arrives, with back-pressure.

    ``note_unread`` is called with each change of the bytes that wait.
    """

    def __init__(
        self,
        note_unread: Callable[[int], None] = _ignore_level,
    ) -> None:
        """Start empty and open."""
        self._chunks: deque[bytes] = deque()
        self._waiting = 0
        self._ended = False
        self._cut = False
        self._intact = True
        self._arrived = asyncio.Event()
        self._taken = asyncio.Event()
        self._note_unread = note_unread

    @property
    def ended(self) -> bool:
        """Whether the whole body has arrived."""
        return self._ended

    def feed(self, chunk: bytes, ended: bool) -> None:
        """Take in what arrived."""
        if chunk:
            self._chunks.append(chunk)
            self._move_level(len(chunk))
        self._ended = self._ended or ended
        self._arrived.set()

    @property
    def intact(self) -> bool:
        """Whether nothing was read yet, so that it can still be sent."""
        return self._intact

    async def feed_slowly(self, chunk: bytes, ended: bool) -> None:
        """Take in what arrived, and wait while the reader is behind."""
        self.feed(chunk, ended)
        while self._waiting >= BODY_HIGH_BYTES and not self._cut:
            self._taken.clear()
            await self._taken.wait()

    def cut(self) -> None:
        """Take note that the rest will not arrive."""
        self._cut = True
        self._arrived.set()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise RequestCutError if it was cut."""
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._move_level(-len(chunk))
                self._taken.set()
                self._intact = False
                yield chunk
            if self._ended:
                return
            if self._cut:
                raise RequestCutError('the request was cut')
            self._arrived.clear()
            await self._arrived.wait()

    def _move_level(self, change: int) -> None:
        self._waiting += change
        self._note_unread(change)


class ReplayBody:
    """A body that was read whole first, so that it can be sent again."""

    intact = True

    def __init__(self, chunks: tuple[bytes, ...] = ()) -> None:
        """Keep the chunks."""
        self._chunks = chunks

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body, as often as it is asked for."""
        for chunk in self._chunks:
            yield chunk


@frozen
class RequestInfo:
    """What a request asks for; ``deadline`` is monotonic time."""

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

    ``may_have_run`` tells that an attempt ended with an unknown outcome, so
    a later refusal doesn't mean that the request has not run.
    """

    info: RequestInfo
    body: RequestBody | ReplayBody
    attempts: int = field(default=0)
    may_have_run: bool = field(default=False)

    @property
    def resendable(self) -> bool:
        """Whether another attempt can still send the whole body."""
        return self.body.intact


class AnswerSink(ABC):
    """Where the answer to a request goes."""

    @abstractmethod
    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Send status and headers."""

    @abstractmethod
    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the receiver is slow.

        An empty part is allowed and changes nothing.
        """

    @abstractmethod
    async def finish(self) -> None:
        """End a whole answer."""

    @abstractmethod
    async def abort(self) -> None:
        """End an answer so that its receiver sees that it isn't whole."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether the head has been sent."""


def find_header(headers: HeaderList, name: bytes) -> bytes:
    """Return the first value of a header, empty if it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return b''
