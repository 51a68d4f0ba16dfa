"""Authenticated message streams over TCP between daemons."""

__all__ = ('MessageStream', 'StreamServer', 'connect_stream')

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    PeerError,
    WireError,
)
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.framing import (
    FRAME_HEADER_BYTES,
    HELLO_BYTES,
    FrameHeader,
    FrameOpener,
    FrameSealer,
    Hello,
    direction_key,
)
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import (
    Message,
    decode_message,
    encode_message,
)

HANDSHAKE_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 512

logger = logging.getLogger(__name__)

StreamHandler = Callable[['MessageStream'], Awaitable[None]]


class MessageStream:
    """A TCP connection that carries messages in both directions.

    Only one task may receive at a time; any number of tasks may send.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        opener: FrameOpener,
        sealer: FrameSealer,
    ) -> None:
        """Wrap a connection on which both hellos have been exchanged."""
        self._reader = reader
        self._writer = writer
        self._opener = opener
        self._sealer = sealer
        self._header: FrameHeader | None = None

    async def send(self, message: Message) -> None:
        """Send a message; wait while the send buffer is full.

        Raises PeerError if the connection is closed or lost.
        """
        await self._send_payload(encode_message(message))

    async def receive(self) -> Message:
        """Return the next message; cancelling the call loses no data.

        Raises WireError for invalid data, after which the stream is closed,
        and PeerError if the connection is lost or closed.
        """
        payload = await self._receive_payload()
        try:
            return decode_message(payload)
        except WireError:
            self.abort()
            raise

    async def verify_keys(self) -> None:
        """Exchange empty frames to verify that both ends hold the same key.

        Raises WireError if the peer's frame is not authentic or not empty.
        """
        await self._send_payload(b'')
        if await self._receive_payload():
            self.abort()
            raise WireError('stream starts with a message')

    async def close(self) -> None:
        """Flush the send buffer, then close the connection."""
        self._writer.close()
        with suppress(OSError):
            await self._writer.wait_closed()

    def abort(self) -> None:
        """Close the connection without flushing the send buffer."""
        self._writer.transport.abort()

    async def _send_payload(self, payload: bytes) -> None:
        if self._writer.is_closing():
            raise PeerError('stream is closed')
        self._writer.write(self._sealer.seal(payload))
        try:
            await self._writer.drain()
        except OSError as exc:
            raise PeerError(f'stream broke: {exc}') from exc

    async def _receive_payload(self) -> bytes:
        # The header is stored so that a call cancelled between header and
        # payload doesn't lose it.
        if self._header is None:
            raw = await _read_exactly(self._reader, FRAME_HEADER_BYTES)
            self._header = self._decode_header(raw)
        header = self._header
        payload = await _read_exactly(self._reader, header.length)
        self._header = None
        try:
            return self._opener.check(header, payload)
        except WireError:
            self.abort()
            raise

    def _decode_header(self, raw: bytes) -> FrameHeader:
        try:
            return FrameHeader.decode(raw)
        except WireError:
            self.abort()
            raise


async def connect_stream(
    address: Address,
    keys: FleetKeys,
    timeout: float,
) -> MessageStream:
    """Connect to a peer within ``timeout`` seconds.

    Raises PeerError if the peer can't be reached or closes the connection,
    and WireError if it doesn't hold the fleet keys.
    """
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address.pair)
            return await _perform_handshake(
                reader, writer, keys, is_client=True
            )
    except OSError as exc:
        raise PeerError(
            f'peer can not be reached: {exc or "timeout"}',
            context=str(address),
        ) from exc


class StreamServer:
    """Accept streams and run ``handler`` for each in its own task."""

    def __init__(
        self,
        address: Address,
        keys: FleetKeys,
        handler: StreamHandler,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Store the parameters; ``start`` opens the socket."""
        self._address = address
        self._keys = keys
        self._handler = handler
        self._max_connections = max_connections
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; raise PeerError if the address can't be bound."""
        try:
            self._server = await asyncio.start_server(
                self._accept,
                *self._address.pair,
            )
        except OSError as exc:
            raise PeerError(
                f'can not listen: {exc}',
                context=str(self._address),
                hint='another process may hold the port',
            ) from exc

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if len(self._tasks) >= self._max_connections:
            logger.warning('stream-refused', extra={'open': len(self._tasks)})
            writer.transport.abort()
            return
        task = asyncio.create_task(
            self._serve(reader, writer),
            name='stream',
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._run_handler(reader, writer)
        except (DragonflyshiftError, OSError) as exc:
            logger.info('stream-ended', extra={'reason': str(exc)})
        except Exception:
            logger.exception('stream-failed')
        finally:
            writer.transport.abort()

    async def _run_handler(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            stream = await _perform_handshake(
                reader,
                writer,
                self._keys,
                is_client=False,
            )
        await self._handler(stream)
        await stream.close()


async def _perform_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    keys: FleetKeys,
    *,
    is_client: bool,
) -> MessageStream:
    own = Hello.create(keys)
    try:
        writer.write(own.encode())
        peer = Hello.decode(await _read_exactly(reader, HELLO_BYTES))
        receive_key = direction_key(keys, peer, own, from_client=not is_client)
        send_key = direction_key(keys, own, peer, from_client=is_client)
        stream = MessageStream(
            reader,
            writer,
            FrameOpener(receive_key),
            FrameSealer(send_key),
        )
        await stream.verify_keys()
    except BaseException:
        writer.transport.abort()
        raise
    return stream


async def _read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        raise PeerError('peer hung up') from exc
    except OSError as exc:
        raise PeerError(f'stream broke: {exc}') from exc
