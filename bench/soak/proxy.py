"""TCP proxy that injects faults into connections to the store."""

__all__ = ('Mode', 'StoreProxy')

import asyncio
import enum

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

DELAY_S = 0.8
CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """What the proxy does with connections and their bytes.

    ``DELAY`` holds each chunk back for ``DELAY_S``, ``RESET`` aborts all
    connections, and ``SILENT`` drops the bytes of both directions.
    """

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    # Requests reach the store, responses are dropped.
    ONE_WAY = 'one-way'


@define(eq=False)
class StoreProxy:
    """Forwards connections to ``target`` according to the current mode."""

    target: SocketAddress
    mode: Mode = Mode.PASS
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def start(self) -> SocketAddress:
        """Listen on a free loopback port and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return (host, port)

    def switch_mode(self, mode: Mode) -> None:
        """Change the mode; ``RESET`` also aborts all open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Abort all connections and stop listening."""
        self.switch_mode(Mode.RESET)
        if self._server is not None:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        upstream = await asyncio.open_connection(*self.target)
        self._writers.update((writer, upstream[1]))
        try:
            await asyncio.gather(
                self._relay(reader, upstream[1], is_response=False),
                self._relay(upstream[0], writer, is_response=True),
            )
        finally:
            for connection in (writer, upstream[1]):
                self._writers.discard(connection)
                connection.transport.abort()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                if not self._drops(is_response=is_response):
                    writer.write(chunk)
        except OSError:
            # A reset of one connection also resets the other.
            writer.transport.abort()
        writer.transport.abort()

    def _drops(self, *, is_response: bool) -> bool:
        if self.mode is Mode.ONE_WAY:
            return is_response
        return self.mode is Mode.SILENT
