"""Send answers on the streams of one flow."""

import asyncio
from collections.abc import Callable

from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.exceptions import H3Error

from dragonflyshift._internal.exceptions import SidecarError
from dragonflyshift._internal.sidecar.quic import IssuedProtocol
from dragonflyshift._internal.sidecar.request import HeaderList, ResponseSink

SEND_HIGH_BYTES = 256 * 1024


class FlowClosedError(SidecarError):
    """The client's connection or stream ended."""


class StreamSender:
    """Send heads and bodies, holding back while the client is slow.

    ``progress`` is set whenever a packet of the client arrived.
    """

    def __init__(self, protocol: IssuedProtocol, http: H3Connection) -> None:
        """Send on the streams of one connection."""
        self._protocol = protocol
        self._quic = protocol.quic
        self._http = http
        self._ended = False
        self.progress = asyncio.Event()

    def end(self) -> None:
        """Take note that the connection is closed."""
        self._ended = True
        self.progress.set()

    def send_head(
        self,
        stream_id: int,
        status: int,
        headers: HeaderList,
    ) -> None:
        """Send the head of an answer."""
        lines = [(b':status', str(status).encode()), *headers]
        self._send(
            stream_id,
            lambda: self._http.send_headers(stream_id, lines),
        )

    async def send_chunk(self, stream_id: int, chunk: bytes) -> None:
        """Send a part of an answer; wait while much is unacknowledged."""
        self._send(
            stream_id,
            lambda: self._http.send_data(stream_id, chunk, end_stream=False),
        )
        while self._quic.unsent_bytes(stream_id) > SEND_HIGH_BYTES:
            self.progress.clear()
            await self.progress.wait()
            self._require_open(stream_id)

    def finish(self, stream_id: int) -> None:
        """End a whole answer."""
        self._send(
            stream_id,
            lambda: self._http.send_data(stream_id, b'', end_stream=True),
        )

    def abort(self, stream_id: int) -> None:
        """Reset a stream, so that the client sees a broken answer."""
        if not self._ended and self._quic.can_send(stream_id):
            self._quic.reset_stream(stream_id, ErrorCode.H3_INTERNAL_ERROR)
            self._protocol.transmit_soon()

    def _send(self, stream_id: int, action: Callable[[], None]) -> None:
        self._require_open(stream_id)
        try:
            action()
        except (H3Error, AssertionError, ValueError) as exc:
            raise FlowClosedError(f'the stream is closed: {exc}') from exc
        self._protocol.transmit_soon()

    def _require_open(self, stream_id: int) -> None:
        if self._ended or not self._quic.can_send(stream_id):
            raise FlowClosedError('the client ended the stream')


class StreamSink(ResponseSink):
    """Send one answer on a stream of a flow."""

    def __init__(self, sender: StreamSender, stream_id: int) -> None:
        """Bind the stream."""
        self._sender = sender
        self._stream_id = stream_id
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the head has been sent."""
        return self._started

    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Send status and headers."""
        self._started = True
        self._sender.send_head(self._stream_id, status, headers)

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the client is slow."""
        if chunk:
            await self._sender.send_chunk(self._stream_id, chunk)

    async def finish(self) -> None:
        """End a whole answer."""
        self._sender.finish(self._stream_id)

    async def abort(self) -> None:
        """Reset the stream."""
        self._sender.abort(self._stream_id)
