"""Send responses on the streams of a flow."""

import asyncio
from collections.abc import Callable

from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.exceptions import H3Error

from dragonflyshift._internal.exceptions import SidecarError
from dragonflyshift._internal.sidecar.quic import ServerProtocol
from dragonflyshift._internal.sidecar.request import HeaderList, ResponseSink

SEND_HIGH_WATER_BYTES = 256 * 1024


class FlowClosedError(SidecarError):
    """The client's connection or stream ended."""


class StreamSender:
    """Sends responses with backpressure from the client.

    ``progress`` is set whenever a packet of the client arrives.
    """

    def __init__(self, protocol: ServerProtocol, http: H3Connection) -> None:
        """Send on the streams of one connection."""
        self._protocol = protocol
        self._quic = protocol.quic
        self._http = http
        self._closed = False
        self.progress = asyncio.Event()

    def mark_closed(self) -> None:
        """Mark the connection as closed and wake waiting senders."""
        self._closed = True
        self.progress.set()

    def send_head(
        self,
        stream_id: int,
        status: int,
        headers: HeaderList,
    ) -> None:
        """Send the status and headers of a response."""
        fields = [(b':status', str(status).encode()), *headers]
        self._send(
            stream_id,
            lambda: self._http.send_headers(stream_id, fields),
        )

    async def send_chunk(self, stream_id: int, chunk: bytes) -> None:
        """Send a part of a body; wait while too much is unacknowledged.

        Raises FlowClosedError if the client closes the stream.
        """
        self._send(
            stream_id,
            lambda: self._http.send_data(stream_id, chunk, end_stream=False),
        )
        while (
            self._quic.unacknowledged_bytes(stream_id) > SEND_HIGH_WATER_BYTES
        ):
            self.progress.clear()
            await self.progress.wait()
            self._require_open(stream_id)

    def finish(self, stream_id: int) -> None:
        """Mark the response as complete."""
        self._send(
            stream_id,
            lambda: self._http.send_data(stream_id, b'', end_stream=True),
        )

    def abort(self, stream_id: int) -> None:
        """Reset a stream, so that the client detects a truncated response."""
        if not self._closed and self._quic.can_send(stream_id):
            self._quic.reset_stream(stream_id, ErrorCode.H3_INTERNAL_ERROR)
            self._protocol.transmit_soon()

    def _send(self, stream_id: int, send: Callable[[], None]) -> None:
        self._require_open(stream_id)
        try:
            send()
        except (H3Error, AssertionError, ValueError) as exc:
            raise FlowClosedError(
                f'stream {stream_id} is closed: {exc}'
            ) from exc
        self._protocol.transmit_soon()

    def _require_open(self, stream_id: int) -> None:
        if self._closed or not self._quic.can_send(stream_id):
            raise FlowClosedError(f'stream {stream_id} is closed')


class StreamSink(ResponseSink):
    """Sends one response on a stream of a flow."""

    def __init__(self, sender: StreamSender, stream_id: int) -> None:
        """Send on the stream ``stream_id``."""
        self._sender = sender
        self._stream_id = stream_id
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the status and headers have been sent."""
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
        """Mark the response as complete."""
        self._sender.finish(self._stream_id)

    async def abort(self) -> None:
        """Reset the stream."""
        self._sender.abort(self._stream_id)
