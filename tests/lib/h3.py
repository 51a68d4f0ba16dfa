"""HTTP/3 client on aioquic that also detects stateless resets.

aioquic stores the stateless reset tokens of its peer but doesn't compare
received datagrams with them, so a connection that was reset would end only
by its idle timeout.
"""

import asyncio
from collections.abc import Iterable
from typing import Any, Self

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import (
    H3_ALPN,
    ErrorCode,
    FrameType,
    H3Connection,
)
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    QuicEvent,
    StreamReset,
)

from dragonflyshift._internal.models import Address
from tests.lib.stream import Response, Stream, StreamOwner

IDLE_TIMEOUT_SECONDS = 10.0
CONNECT_TIMEOUT_SECONDS = 5.0
ANSWER_TIMEOUT_SECONDS = 30.0
RESET_TOKEN_BYTES = 16
MIN_RESET_BYTES = 21
LONG_HEADER_BIT = 0x80
FLOW_CONTROL_WINDOW_BYTES = 4 * 1024 * 1024


class FlowError(ConnectionError):
    """The connection could not be opened or was lost."""


class _Connection(H3Connection):
    """Records the server's GOAWAY frame, which aioquic ignores."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.goaway = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self.goaway = True


class _Protocol(QuicConnectionProtocol):
    """Passes connection events and stateless resets to an H3Client."""

    client: 'H3Client'

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        if isinstance(data, bytes) and self._is_reset(data):
            self.client.mark_lost('stateless-reset')
            return
        super().datagram_received(data, addr)

    def quic_event_received(self, event: QuicEvent) -> None:
        self.client.take_event(event)

    def abort(self) -> None:
        """Close the socket without notifying the peer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.close()

    def transmit(self) -> None:
        transport = self._transport
        if transport is not None and not transport.is_closing():
            super().transmit()

    def _is_reset(self, datagram: bytes) -> bool:
        if len(datagram) < MIN_RESET_BYTES or datagram[0] & LONG_HEADER_BIT:
            return False
        quic = self._quic
        ids = (quic._peer_cid, *quic._peer_cid_available)
        tail = datagram[-RESET_TOKEN_BYTES:]
        return any(tail == each.stateless_reset_token for each in ids)


class H3Client(StreamOwner):
    """One HTTP/3 connection to a service.

    ``failure`` is the reason the connection ended, empty while it is open.

    Example:
        >>> async def read(ca: str) -> Response:
        ...     address = Address.parse('127.0.0.1:8443')
        ...     async with await H3Client.connect(address, ca, 'lists') as conn:
        ...         return await conn.request('GET', '/lists/1')
    """

    def __init__(self, protocol: _Protocol, quic: QuicConnection) -> None:
        self.failure = ''
        self._protocol = protocol
        self._quic = quic
        self._http = _Connection(quic)
        self._streams: dict[int, Stream] = {}
        self._lost = asyncio.Event()

    @classmethod
    async def connect(
        cls,
        address: Address,
        ca: str,
        server_name: str,
        *,
        timeout: float = CONNECT_TIMEOUT_SECONDS,
        idle_timeout: float = IDLE_TIMEOUT_SECONDS,
        local_host: str = '127.0.0.1',
    ) -> Self:
        """Open a connection.

        Raises FlowError if the handshake fails or takes more than ``timeout``
        seconds.
        """
        cfg = QuicConfiguration(
            is_client=True,
            alpn_protocols=H3_ALPN,
            server_name=server_name,
            idle_timeout=idle_timeout,
            max_data=FLOW_CONTROL_WINDOW_BYTES,
            max_stream_data=FLOW_CONTROL_WINDOW_BYTES,
            cadata=ca.encode(),
        )
        quic = QuicConnection(configuration=cfg)
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.create_datagram_endpoint(
            lambda: _Protocol(quic),
            local_addr=(local_host, 0),
        )
        client = cls(protocol, quic)
        protocol.client = client
        protocol.connect(address.pair)
        try:
            async with asyncio.timeout(timeout):
                await protocol.wait_connected()
        except (TimeoutError, ConnectionError) as exc:
            reason = client.failure or 'timeout'
            protocol.abort()
            transport.close()
            raise FlowError(f'handshake failed: {reason}') from exc
        return client

    @property
    def local_address(self) -> str:
        """The client's host:port, which the fabric uses as its name."""
        transport = self._protocol._transport
        if transport is None:
            return ''
        host, port = transport.get_extra_info('sockname')[:2]
        return f'{host}:{port}'

    @property
    def peer_connection_id(self) -> bytes:
        """The server's connection id, which the client's packets carry."""
        return self._quic._peer_cid.cid

    @property
    def leaving(self) -> bool:
        """Whether new requests must use another connection.

        This holds if the connection has ended or the server sent GOAWAY.
        """
        return bool(self.failure) or self._http.goaway

    def open(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
    ) -> Stream:
        """Send a request and return its stream.

        Raises FlowError if the connection has ended.
        """
        if self.failure:
            raise FlowError(self.failure)
        stream_id = self._quic.get_next_available_stream_id()
        stream = Stream(self, stream_id)
        self._streams[stream_id] = stream
        fields = [
            (b':method', method.encode()),
            (b':scheme', b'https'),
            (b':authority', b'dragonflyshift.test'),
            (b':path', path.encode()),
        ]
        if body:
            fields.append((b'content-length', str(len(body)).encode()))
        for name, text in headers:
            fields.append((name.encode(), text.encode()))
        self._http.send_headers(stream_id, fields, end_stream=not body)
        if body:
            self._http.send_data(stream_id, body, end_stream=True)
        self._protocol.transmit()
        return stream

    async def request(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        timeout: float = ANSWER_TIMEOUT_SECONDS,
    ) -> Response:
        """Send a request and read its answer within ``timeout`` seconds.

        Raises FlowError if the connection has ended.
        """
        stream = self.open(method, path, headers, body)
        return await stream.read_response(timeout)

    def cancel_stream(self, stream_id: int) -> None:
        """Cancel a stream in both directions."""
        if self.failure:
            return
        code = int(ErrorCode.H3_REQUEST_CANCELLED)
        self._quic.stop_stream(stream_id, code)
        if self._quic._stream_can_send(stream_id):
            self._quic.reset_stream(stream_id, code)
        self._protocol.transmit()

    def discard_stream(self, stream_id: int) -> None:
        """Remove a stream whose answer has been read."""
        self._streams.pop(stream_id, None)

    def take_event(self, event: QuicEvent) -> None:
        """Process a QUIC event and pass its HTTP events to their streams."""
        if isinstance(event, ConnectionTerminated):
            self.mark_lost(event.reason_phrase or f'closed:{event.error_code}')
            return
        if isinstance(event, StreamReset):
            self._fail_stream(event)
        for each in self._http.handle_event(event):
            stream = self._streams.get(getattr(each, 'stream_id', -1))
            if stream is not None:
                stream.handle_event(each)

    def mark_lost(self, reason: str) -> None:
        """Fail all streams for ``reason`` and close the socket."""
        if self.failure:
            return
        self.failure = reason
        self._protocol.abort()
        for stream in tuple(self._streams.values()):
            stream.fail(reason)
        self._lost.set()

    async def wait_lost(self) -> str:
        """Wait until the connection ends and return the reason."""
        await self._lost.wait()
        return self.failure

    async def aclose(self) -> None:
        """Close the connection."""
        if self.failure:
            return
        self._protocol.close()
        self.mark_lost('closed')

    async def __aenter__(self) -> Self:
        """Return the open connection."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connection."""
        await self.aclose()

    def _fail_stream(self, event: StreamReset) -> None:
        stream = self._streams.get(event.stream_id)
        if stream is not None:
            stream.fail(f'reset:{event.error_code}')
