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
MAX_INTERIM_RESPONSES = 8
# Requests with these methods rarely have a body. Chunked coding is declared
# only if there is one, since some servers refuse it otherwise.
_BODILESS_METHODS = frozenset((b'GET', b'HEAD', b'OPTIONS'))
_CONTENT_LENGTH = b'content-length'

logger = logging.getLogger(__name__)


@frozen
class BackendRequest:
    """The head of a request to the backend server.

    If ``new_connection`` is set, no idle connection is reused. The server may
    close a reused connection just when a request is written to it; the
    outcome of that request is then unknown.
    """

    method: bytes
    target: bytes
    headers: Headers
    new_connection: bool = False


class _ConnectionReader(asyncio.StreamReader):
    """A stream reader that counts unread bytes and reports idle input."""

    def __init__(self) -> None:
        super().__init__(limit=READ_BYTES)
        self.unread = 0
        self.connection_error: Exception | None = None
        self.on_idle_input: Callable[[], None] | None = None

    def feed_data(self, data: Any) -> None:
        self.unread += len(data)
        super().feed_data(data)
        self._notify_idle_input()

    def feed_eof(self) -> None:
        super().feed_eof()
        self._notify_idle_input()

    def set_exception(self, exc: Exception) -> None:
        # Data that arrived before the error is still read, since it may be a
        # response.
        self.connection_error = exc
        self.feed_eof()

    async def read_chunk(self) -> bytes:
        """Return the data that has arrived; empty at the end of input."""
        chunk = await self.read(READ_BYTES)
        self.unread -= len(chunk)
        if not chunk and self.connection_error is not None:
            raise self.connection_error
        return chunk

    def _notify_idle_input(self) -> None:
        if self.on_idle_input is not None:
            self.on_idle_input()


@define(eq=False)
class BackendConnection:
    """A connection that carries one exchange at a time."""

    _reader: _ConnectionReader
    _writer: asyncio.StreamWriter
    _codec: h11.Connection = field(init=False)
    _upload: asyncio.Task[None] | None = field(init=False, default=None)
    _upload_error: Exception | None = field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        """Create the codec, which limits the size of a response head."""
        self._codec = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEAD_BYTES,
        )

    @property
    def reusable(self) -> bool:
        """Whether the exchange is complete without excess input after it."""
        return (
            self._is_exchange_complete()
            and not self._reader.unread
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def set_idle(self) -> None:
        """Mark the connection as idle; input while idle closes it."""
        self._codec.start_next_cycle()
        self._upload = None
        self._reader.on_idle_input = self.abort

    def set_active(self) -> None:
        """Mark the connection as in use."""
        self._reader.on_idle_input = None

    def abort(self) -> None:
        """Close immediately, so that a late response can't be misattributed."""
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
        """Write the head, then upload the body in a separate task."""
        first_chunk = b''
        if _may_lack_body(req):
            first_chunk = await anext(body, b'')
        head = self._encode_head(req, chunked=bool(first_chunk))
        if self._writer.is_closing() or self._reader.at_eof():
            raise BackendUnreachableError(
                'the backend server closed the connection'
            )
        self._writer.write(head)
        self._upload = asyncio.create_task(
            self._run_upload(first_chunk, body),
            name='backend-upload',
        )

    async def receive_head(self) -> h11.Response:
        """Return the head of the final response, skipping interim ones."""
        for seen in range(MAX_INTERIM_RESPONSES):
            event = await self._next_event(BackendBrokenError)
            if isinstance(event, h11.Response):
                return event
            logger.debug('backend-interim-head', extra={'seen': seen})
        raise BackendBrokenError('backend server sent too many interim heads')

    async def receive_chunk(self) -> bytes | None:
        """Return the next chunk of the response body; None at its end."""
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
        if not _may_lack_body(req) or chunked:
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
                f'the request is not valid HTTP/1.1: {exc}',
            ) from exc
        return head or b''

    async def _run_upload(
        self,
        first_chunk: bytes,
        body: AsyncIterator[bytes],
    ) -> None:
        try:
            await self._send_body(first_chunk, body)
        except Exception as exc:
            logger.debug('backend-upload-failed', exc_info=exc)
            self._upload_error = exc
            self._writer.transport.abort()

    async def _send_body(
        self,
        first_chunk: bytes,
        body: AsyncIterator[bytes],
    ) -> None:
        if first_chunk:
            await self._write(h11.Data(data=first_chunk))
        async for chunk in body:
            if chunk:
                await self._write(h11.Data(data=chunk))
        await self._write(h11.EndOfMessage())

    async def _write(self, event: h11.Event) -> None:
        raw = self._codec.send(event)
        if raw:
            self._writer.write(raw)
        # The reading side reports a lost connection, since a response may
        # have arrived before, such as 413 during the upload.
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
            self._codec.receive_data(await self._reader.read_chunk())
            event = self._codec.next_event()
        return event


async def open_connection(address: Address) -> BackendConnection:
    """Connect; raise BackendUnreachableError if that fails."""
    loop = asyncio.get_running_loop()
    reader = _ConnectionReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    try:
        transport, _protocol = await loop.create_connection(
            lambda: protocol,
            *address.pair,
        )
    except OSError as exc:
        raise BackendUnreachableError(
            f'the backend server is unreachable: {exc}',
            context=str(address),
        ) from exc
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return BackendConnection(reader, writer)


def _may_lack_body(req: BackendRequest) -> bool:
    return req.method in _BODILESS_METHODS and not has_header(
        req.headers,
        _CONTENT_LENGTH,
    )
