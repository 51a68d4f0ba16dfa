"""A sink that keeps an answer while it passes it on."""

import contextlib
from collections.abc import Iterator

from dragonflyshift._internal.exceptions import DragonflyshiftError
from dragonflyshift._internal.models import Outcome, OutcomeKind
from dragonflyshift._internal.sidecar.request import AnswerSink, HeaderList

MAX_CAPTURED_BYTES = 1024 * 1024


class CapturingSink(AnswerSink):
    """Keep an answer for those who ask again.

    The request runs to its end even if the client goes away, so a failure
    to pass the answer on only detaches the client.
    """

    def __init__(self, sink: AnswerSink) -> None:
        """Pass everything on to ``sink``."""
        self._sink: AnswerSink | None = sink
        self._status = 0
        self._headers: HeaderList = ()
        self._chunks: list[bytes] = []
        self._size = 0

    @property
    def started(self) -> bool:
        """Whether the head has come."""
        return self._status != 0

    def detach(self) -> None:
        """Pass nothing on any more."""
        self._sink = None

    def outcome(self) -> Outcome:
        """Return the whole answer; a very long body is left out."""
        body = b''
        if self._size <= MAX_CAPTURED_BYTES:
            body = b''.join(self._chunks)
        return Outcome(
            OutcomeKind.ANSWERED,
            self._status,
            self._headers,
            body,
        )

    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Keep and pass on status and headers."""
        self._status = status
        self._headers = headers
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.send_head(status, headers)

    async def send_chunk(self, chunk: bytes) -> None:
        """Keep and pass on a part of the body."""
        self._size += len(chunk)
        if self._size <= MAX_CAPTURED_BYTES:
            self._chunks.append(chunk)
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.send_chunk(chunk)

    async def finish(self) -> None:
        """Pass the end on."""
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.finish()

    async def abort(self) -> None:
        """Pass the break on."""
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.abort()

    @contextlib.contextmanager
    def _detached_on_failure(self) -> Iterator[None]:
        try:
            yield
        except DragonflyshiftError:
            self.detach()
