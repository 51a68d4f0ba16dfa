"""One HTTP/1.1 connection to the backend server."""

__all__ = ('BackendConnection', 'BackendRequest', 'open_connection')

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Any

import h11
from attrs import define, field, frozen

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.backend_errors import (
    BackendBrokenError,
    BackendUnreachableError,
    ShortAnswerError,
)
from dragonflyshift._internal.sidecar.backend_headers import (
    Headers,
    has_header,
    strip_hop_by_hop,
)

MAX_HEAD_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
MAX_INFORMATIONAL = 8
# With these methods a body is rare, so chunked coding is only declared once
# there is one: some servers refuse it.
_BODILESS_METHODS = frozenset((b'GET', b'HEAD', b'OPTIONS'))
_CONTENT_LENGTH = b'content-length'

logger = logging.getLogger(__name__)


@frozen
class BackendRequest:
    """The head of a request; ``fresh`` asks for a new connection.

    On a connection that was used before, the server may close just when the
    request is written, and then nobody knows whether it ran.
    """

    method: bytes
    target: bytes
    headers: Headers
    fresh: bool = False


class _Reader(asyncio.StreamReader):
    """A stream reader that knows of its unread bytes and of input at rest."""

    def __init__(self) -> None:
        super().__init__(limit=READ_BYTES)
        self.unread = 0
        self.lost: Exception | None = None
        self.on_idle_input: Callable[[], None] | None = None

    def feed_data(self, data: Any) -> None:
        self.unread += len(data)
        super().feed_data(data)
        self._notice()

    def feed_eof(self) -> None:
        super().feed_eof()
        self._notice()

    def set_exception(self, exc: Exception) -> None:
        # What arrived before the loss is still read: it may be an answer.
        self.lost = exc
        self.feed_eof()

    async def take(self) -> bytes:
        """Return what has arrived; empty at the end."""
        chunk = await self.read(READ_BYTES)
        self.unread -= len(chunk)
        if not chunk and self.lost is not None:
            raise self.lost
        return chunk

    def _notice(self) -> None:
        if self.on_idle_input is not None:
            self.on_idle_input()


@define(eq=False)
class BackendConnection:
    """A connection that carries one exchange at a time."""

    _reader: _Reader
    _writer: asyncio.StreamWriter
    _codec: h11.Connection = field(init=False)
    _upload: asyncio.Task[None] | None = field(init=False, default=None)
    _upload_error: Exception | None = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        """Bound the head of an answer."""
        self._codec = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEAD_BYTES,
        )

    @property
    def reusable(self) -> bool:
        """Whether the last exchange is complete and nothing followed it."""
        return (
            self._is_exchange_complete()
            and not self._reader.unread
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def rest(self) -> None:
        """Wait for the next exchange; input before it ends the connection."""
        self._codec.start_next_cycle()
        self._upload = None
        self._reader.on_idle_input = self.abort

    def wake(self) -> None:
        """Leave the rest."""
        self._reader.on_idle_input = None

    def abort(self) -> None:
        """Close at once, so that no late answer meets another request."""
        self._reader.on_idle_input = None
        if self._upload is not None:
            self._upload.cancel()
        self._writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the upload and the socket are closed."""
        if self._upload is not None:
            await asyncio.wait((self._upload,))
        with suppress(OSError):
            await self._writer.wait_closed()

    async def send(
        self,
        req: BackendRequest,
        body: AsyncIterator[bytes],
    ) -> None:
        """Write the head, then upload the body in a task of its own."""
        first = b''
        if _is_maybe_bodiless(req):
            first = await anext(body, b'')
        head = self._encode_head(req, chunked=bool(first))
        if self._writer.is_closing() or self._reader.at_eof():
            raise BackendUnreachableError('backend server hung up')
        self._writer.write(head)
        self._upload = asyncio.create_task(
            self._run_upload(first, body),
            name='backend-upload',
        )

    async def receive_head(self) -> h11.Response:
        """Return the head of the answer, past interim ones."""
        for seen in range(MAX_INFORMATIONAL):
            event = await self._next_event(BackendBrokenError)
            if isinstance(event, h11.Response):
                return event
            logger.debug('backend-interim-head', extra={'seen': seen})
        raise BackendBrokenError('backend server sent too many interim heads')

    async def receive_chunk(self) -> bytes | None:
        """Return the next piece of the answer's body; None at its end."""
        event = await self._next_event(ShortAnswerError)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    def _is_exchange_complete(self) -> bool:
        codec = self._codec
        if self._upload is not None and not self._upload.done():
            return False
        states = {codec.our_state, codec.their_state}
        return states <= {h11.DONE, h11.IDLE} and not codec.trailing_data[0]

    def _encode_head(self, req: BackendRequest, *, chunked: bool) -> bytes:
        headers = list(strip_hop_by_hop(req.headers))
        if not has_header(req.headers, b'host'):
            host, port = self._writer.get_extra_info('peername')
            headers.insert(0, (b'host', f'{host}:{port}'.encode()))
        if not _is_maybe_bodiless(req) or chunked:
            if not has_header(req.headers, _CONTENT_LENGTH):
                headers.append((b'transfer-encoding', b'chunked'))
        try:
            head = self._codec.send(
                h11.Request(
                    method=req.method,
                    target=req.target,
                    headers=headers,
                ),
            )
        except h11.LocalProtocolError as exc:
            raise BackendUnreachableError(
                f'request does not fit HTTP/1.1: {exc}',
            ) from exc
        return head or b''

    async def _run_upload(
        self,
        first: bytes,
        body: AsyncIterator[bytes],
    ) -> None:
        try:
            await self._send_body(first, body)
        except Exception as exc:
            logger.debug('backend-upload-failed', exc_info=exc)
            self._upload_error = exc
            self._writer.transport.abort()

    async def _send_body(
        self,
        first: bytes,
        body: AsyncIterator[bytes],
    ) -> None:
        if first:
            await self._write(h11.Data(data=first))
        async for chunk in body:
            if chunk:
                await self._write(h11.Data(data=chunk))
        await self._write(h11.EndOfMessage())

    async def _write(self, event: h11.Event) -> None:
        raw = self._codec.send(event)
        if raw:
            self._writer.write(raw)
        # When the connection is lost, the reading side tells: an answer may
        # have come before, such as 413 in the midst of the body.
        with suppress(OSError):
            await self._writer.drain()

    async def _next_event(
        self,
        error: type[BackendBrokenError] | type[ShortAnswerError],
    ) -> Any:
        try:
            event = await self._read_event()
        except h11.RemoteProtocolError as exc:
            raise error(f'answer is cut or garbled: {exc}') from (
                self._upload_error or exc
            )
        except OSError as exc:
            raise error(f'connection broke: {exc}') from (
                self._upload_error or exc
            )
        if self._upload_error is not None:
            raise error('request body failed') from self._upload_error
        return event

    async def _read_event(self) -> Any:
        event = self._codec.next_event()
        while event is h11.NEED_DATA:
            self._codec.receive_data(await self._reader.take())
            event = self._codec.next_event()
        return event


async def open_connection(address: Address) -> BackendConnection:
    """Connect; raise BackendUnreachableError when nobody listens."""
    loop = asyncio.get_running_loop()
    reader = _Reader()
    protocol = asyncio.StreamReaderProtocol(reader)
    try:
        transport, _protocol = await loop.create_connection(
            lambda: protocol,
            *address.pair,
        )
    except OSError as exc:
        raise BackendUnreachableError(
            f'backend server is unreachable: {exc}',
            context=str(address),
        ) from exc
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return BackendConnection(reader, writer)


def _is_maybe_bodiless(req: BackendRequest) -> bool:
    return req.method in _BODILESS_METHODS and not has_header(
        req.headers,
        _CONTENT_LENGTH,
    )
