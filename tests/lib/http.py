"""A small HTTP/1.1 server based on h11, for the stand-ins."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Self, TypeAlias, TypeVar
from urllib.parse import parse_qsl, urlsplit

import cattrs
import h11
from attrs import field, frozen

READ_BYTES = 65536
_ShapeT = TypeVar('_ShapeT')
Headers: TypeAlias = Iterable[tuple[str, str]]


@frozen
class Request:
    """The head of a request."""

    method: str
    path: str
    query: dict[str, str] = field(factory=dict)
    headers: dict[str, str] = field(factory=dict)

    @classmethod
    def from_event(cls, event: h11.Request) -> 'Request':
        """Convert a request head that h11 parsed."""
        target = urlsplit(event.target.decode('ascii'))
        return cls(
            event.method.decode('ascii'),
            target.path,
            dict(parse_qsl(target.query)),
            {
                name.decode('ascii'): text.decode('latin-1')
                for name, text in event.headers
            },
        )


class Exchange:
    """One request and its response.

    A handler reads the body first; after that, it is cancelled as soon as
    the client closes the connection.
    """

    def __init__(
        self,
        request: Request,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.request = request
        self.conn = conn
        self.head_sent = False
        self._reader = reader
        self._writer = writer
        self._watcher: asyncio.Task[None] | None = None

    async def body(self) -> bytes:
        """Read the whole body, then watch for the end of the connection.

        Raises ConnectionResetError if the body is incomplete.
        """
        parts = []
        while True:
            event = await next_event(self.conn, self._reader, self._writer)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            if not isinstance(event, h11.EndOfMessage):
                raise ConnectionResetError('request body is incomplete')
            break
        task = asyncio.current_task()
        if task is not None:
            self._watcher = asyncio.create_task(self._watch(task))
        return b''.join(parts)

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of the response."""
        self.head_sent = True
        head = h11.Response(status_code=status, headers=list(headers))
        await self._send(head)

    async def send(self, part: bytes) -> None:
        """Send a part of the response body."""
        await self._send(h11.Data(data=part))

    async def finish(self) -> None:
        """End the response."""
        await self._send(h11.EndOfMessage())

    async def reply(
        self,
        status: int,
        body: bytes = b'',
        headers: Headers = (),
    ) -> None:
        """Send a whole response."""
        length = ('content-length', str(len(body)))
        await self.start(status, (*headers, length))
        if body:
            await self.send(body)
        await self.finish()

    async def reply_json(self, answer: Any, status: int = 200) -> None:
        """Send a whole response with a JSON body."""
        await self.reply(
            status,
            json.dumps(answer).encode(),
            (('content-type', 'application/json'),),
        )

    def cut(self) -> None:
        """Abort the connection, even in the middle of the response."""
        self._writer.transport.abort()

    async def __aenter__(self) -> Self:
        """Return the exchange."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop watching, so that the next exchange can read."""
        if self._watcher is None:
            return
        self._watcher.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._watcher

    async def _send(self, event: h11.Event) -> None:
        encoded = self.conn.send(event)
        if encoded:
            self._writer.write(encoded)
            await self._writer.drain()

    async def _watch(self, handler: asyncio.Task[Any]) -> None:
        try:
            received = await self._reader.read(READ_BYTES)
        except OSError:
            received = b''
        if received:
            self.conn.receive_data(received)
        else:
            handler.cancel()


Handler: TypeAlias = Callable[[Exchange], Awaitable[None]]


async def next_event(
    conn: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> Any:
    """Return the next event received from the client."""
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        if conn.they_are_waiting_for_100_continue:
            headers: list[tuple[str, str]] = []
            continue_response = h11.InformationalResponse(
                status_code=100, headers=headers
            )
            writer.write(conn.send(continue_response) or b'')
        conn.receive_data(await reader.read(READ_BYTES))


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Start a server; with port 0, ``bound_port`` returns the actual one."""

    async def handle_connection(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await _serve_connection(handler, reader, writer)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()

    return await asyncio.start_server(
        handle_connection, host, port, backlog=1024
    )


async def _serve_connection(
    handler: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    conn = h11.Connection(h11.SERVER)
    while True:
        event = await next_event(conn, reader, writer)
        if not isinstance(event, h11.Request):
            return
        request = Request.from_event(event)
        async with Exchange(request, conn, reader, writer) as exchange:
            await handler(exchange)
        if conn.our_state is not h11.DONE:
            return
        if conn.their_state is not h11.DONE:
            return
        conn.start_next_cycle()


def structure(body: bytes, shape: type[_ShapeT]) -> _ShapeT:
    """Parse a JSON body into a value of type ``shape``."""
    return cattrs.structure(json.loads(body), shape)


def bound_port(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])
