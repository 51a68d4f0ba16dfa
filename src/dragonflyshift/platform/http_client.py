"""An HTTP connection to the platform's store."""

__all__ = ('HttpConnection', 'HttpResponse', 'open_connection')

import asyncio
import logging
import socket
from typing import Any

import h11
from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

logger = logging.getLogger(__name__)

KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
READ_BYTES = 65536


@define(eq=False, repr=False)
class HttpResponse:
    """A response; ``headers`` has their names in lower case."""

    status: int = 0
    headers: dict[bytes, bytes] = field(factory=dict)
    body: bytes = b''


class HttpConnection:
    """A persistent HTTP connection to the store.

    ``is_unusable`` is set while a request is under way, and stays set if the
    connection can take no further request.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: str,
    ) -> None:
        """Use an open connection; ``host`` is for the Host header."""
        self._reader = reader
        self._writer = writer
        self._host = host
        self._http = h11.Connection(h11.CLIENT)
        self.is_unusable = False

    async def get(self, target: str) -> HttpResponse:
        """Return the response to a GET request.

        Raises EOFError or OSError if the connection fails.
        """
        try:
            return await self._exchange(target)
        except h11.ProtocolError as exc:
            raise EOFError(f'response is not valid HTTP: {exc}') from exc

    async def _exchange(self, target: str) -> HttpResponse:
        self.is_unusable = True
        request = h11.Request(
            method='GET',
            target=target,
            headers=[('Host', self._host)],
        )
        self._writer.write(self._http.send(request) or b'')
        self._writer.write(self._http.send(h11.EndOfMessage()) or b'')
        await self._writer.drain()
        response = await self._receive()
        states = {self._http.our_state, self._http.their_state}
        if states == {h11.DONE}:
            self._http.start_next_cycle()
            self.is_unusable = False
        return response

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    async def _receive(self) -> HttpResponse:
        response = HttpResponse()
        parts: list[bytes] = []
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                response.body = b''.join(parts)
                return response
            if isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers.update(event.headers)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))

    async def _next_event(self) -> Any:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await self._reader.read(READ_BYTES))
            event = self._http.next_event()
        if isinstance(event, h11.ConnectionClosed):
            raise EOFError(
                f'{self._host} closed the connection before the response ended',
            )
        return event


async def open_connection(address: SocketAddress) -> HttpConnection:
    """Connect to the store; raise OSError if that fails."""
    reader, writer = await asyncio.open_connection(*address)
    _enable_keep_alive(writer.get_extra_info('socket'))
    return HttpConnection(reader, writer, f'{address[0]}:{address[1]}')


def _enable_keep_alive(sock: socket.socket) -> None:
    """Enable TCP keep-alive, which detects that the peer is gone."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
    except OSError as exc:
        logger.info('keep-alive-not-set', extra={'reason': repr(exc)})
