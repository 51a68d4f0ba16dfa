"""A TCP proxy before the store that delays, resets, silences or cuts."""

__all__ = ('Mode', 'StoreProxy')

import asyncio
import enum

from attrs import define, field

from dragonflyshift._internal.carried.packet import SocketAddress

DELAY_S = 0.8
CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """What the proxy does with bytes and connections."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    # Requests arrive, answers are lost.
    ONE_WAY = 'one-way'


@define(eq=False)
class StoreProxy:
    """Pass connections on, as the mode of the moment says."""

    target: SocketAddress
    mode: Mode = Mode.PASS
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def start(self) -> SocketAddress:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return (host, port)

    def behave(self, mode: Mode) -> None:
        """Change the mode; a reset ends what is open."""
        self.mode = mode
        if mode is Mode.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """End everything."""
        self.behave(Mode.RESET)
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
        near = await asyncio.open_connection(*self.target)
        self._writers.update((writer, near[1]))
        try:
            await asyncio.gather(
                self._pump(reader, near[1], is_answer=False),
                self._pump(near[0], writer, is_answer=True),
            )
        finally:
            for end in (writer, near[1]):
                self._writers.discard(end)
                end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                if not self._swallows(is_answer=is_answer):
                    writer.write(chunk)
        except OSError:
            # The other end is reset with this one.
            writer.transport.abort()
        writer.transport.abort()

    def _swallows(self, *, is_answer: bool) -> bool:
        if self.mode is Mode.ONE_WAY:
            return is_answer
        return self.mode is Mode.SILENT
