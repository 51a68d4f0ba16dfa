"""A flow: the QUIC connection of a client with its HTTP/3 requests."""

import asyncio
import functools
import logging
import socket
import time
from collections.abc import Awaitable, Callable

from aioquic.h3.connection import H3_ALPN, ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)
from aioquic.quic.packet import QuicErrorCode, QuicFrameType

from dragonflyshift._internal.sidecar.quic import (
    ServerConnection,
    ServerProtocol,
    send_goaway,
)
from dragonflyshift._internal.sidecar.request import (
    HeaderList,
    RequestBody,
    ResponseSink,
)
from dragonflyshift._internal.sidecar.sending import (
    FlowClosedError,
    StreamSender,
    StreamSink,
)

logger = logging.getLogger(__name__)

MAX_STREAMS_PER_FLOW = 64
KEEPALIVES_PER_IDLE_TIMEOUT = 3
# Whatever timeout a client states, it gets no more pings than one in this time.
MIN_KEEPALIVE_PERIOD_S = 0.2
MAX_STREAM_ID = (1 << 62) - 4
STREAM_ID_STEP = 4


RequestHandler = Callable[
    ['Flow', HeaderList, RequestBody, ResponseSink],
    Awaitable[None],
]


class Flow(ServerProtocol):
    """Terminates a client's connection and runs a task per request."""

    def __init__(
        self,
        quic: ServerConnection,
        handler: RequestHandler,
        original_id: bytes,
        client_host: str,
    ) -> None:
        """Create the server's end of a connection.

        ``original_id`` is the destination id that the client chose for its
        first packet; it identifies the flow in traces. ``client_host`` is
        the client's address, with which ``client_id`` begins.
        """
        super().__init__(quic)
        self.original_id = original_id
        self.client_id = socket.inet_aton(client_host) + original_id
        self._handler = handler
        self._http: H3Connection | None = None
        self._sender: StreamSender | None = None
        self._bodies: dict[int, RequestBody] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._keepalive: asyncio.TimerHandle | None = None
        self._rejecting = False
        self._next_stream_id = 0
        self.last_request_at = time.monotonic()
        self.handshake_completed = False
        self.ended = False

    @property
    def open_requests(self) -> int:
        """Number of requests whose response is not completely delivered.

        A response that was written completely may not yet be acknowledged
        by a slow client; closing the flow would truncate it.
        """
        return max(len(self._tasks), self.quic.count_undelivered_streams())

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        if isinstance(event, ProtocolNegotiated):
            if event.alpn_protocol in H3_ALPN:
                self._http = H3Connection(self.quic)
                self._sender = StreamSender(self, self._http)
        elif isinstance(event, HandshakeCompleted):
            self.handshake_completed = True
            self.quic.drop_handshake_buffers()
            self._schedule_keepalive()
        elif isinstance(event, ConnectionTerminated):
            self._handle_termination()
        elif isinstance(event, (StreamReset, StopSendingReceived)):
            self._cancel_request(event.stream_id)
        if self._http is not None:
            for http_event in self._http.handle_event(event):
                self._handle_http_event(http_event)

    def datagram_received(self, data: bytes | str, addr: object) -> None:
        """Process a packet and resume responses that wait for the client."""
        super().datagram_received(data, addr)
        if self._sender is not None:
            self._sender.progress.set()

    def announce_leaving(self) -> None:
        """Ask the client to send further requests on another connection.

        Requests that still arrive on this connection are served.
        """
        self._send_goaway(MAX_STREAM_ID)

    def refuse(self) -> None:
        """Close a flow whose handshake is not complete.

        The frame type makes it a close by the transport. The code of a close
        by the application is not sent before the handshake is complete.
        """
        self._quic.close(
            error_code=QuicErrorCode.CONNECTION_REFUSED,
            frame_type=QuicFrameType.PADDING,
        )
        self.transmit()

    def close_gracefully(self, delay: float) -> None:
        """Reject further requests as not run, and close after ``delay`` s.

        A GOAWAY frame informs the client before the connection is closed
        which requests were not processed.
        """
        if self._rejecting or self.ended:
            return
        self._rejecting = True
        self._send_goaway(self._next_stream_id)
        self._loop.call_later(delay, self.close, ErrorCode.H3_NO_ERROR)

    def _send_goaway(self, stream_id: int) -> None:
        if self._http is None or self.ended:
            return
        send_goaway(self.quic, self._http, stream_id)
        self.transmit()

    def _handle_http_event(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            self._start_request(event)
        elif isinstance(event, DataReceived):
            self._feed_body(event)

    def _start_request(self, event: HeadersReceived) -> None:
        stream_id = event.stream_id
        existing_body = self._bodies.get(stream_id)
        if existing_body is not None:
            # These are trailers. Their fields are ignored, but they may end the
            # body.
            existing_body.feed(b'', event.stream_ended)
            return
        if self._rejecting or len(self._tasks) >= MAX_STREAMS_PER_FLOW:
            self.quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_REJECTED)
            return
        self.last_request_at = time.monotonic()
        self._next_stream_id = max(
            self._next_stream_id,
            stream_id + STREAM_ID_STEP,
        )
        body = RequestBody(functools.partial(self._note_unread, stream_id))
        body.feed(b'', event.stream_ended)
        self._bodies[stream_id] = body
        task = self._loop.create_task(
            self._handle_request(stream_id, tuple(event.headers), body),
            name=f'request-{stream_id}',
        )
        self._tasks[stream_id] = task

    def _feed_body(self, event: DataReceived) -> None:
        body = self._bodies.get(event.stream_id)
        if body is None:
            return
        body.feed(event.data, event.stream_ended)

    def _note_unread(self, stream_id: int, change: int) -> None:
        if stream_id not in self._bodies:
            return
        self.quic.note_unread(stream_id, change)
        if change < 0:
            self.transmit_soon()

    async def _handle_request(
        self,
        stream_id: int,
        headers: HeaderList,
        body: RequestBody,
    ) -> None:
        if self._sender is None:
            return
        sink = StreamSink(self._sender, stream_id)
        try:
            await self._handler(self, headers, body, sink)
        except FlowClosedError:
            logger.debug('client-disconnected', extra={'stream': stream_id})
        except Exception:
            logger.exception('request-failed')
            await sink.abort()
        finally:
            self._release_stream(stream_id)

    def _release_stream(self, stream_id: int) -> None:
        body = self._bodies.pop(stream_id, None)
        if body is not None and not body.ended and not self.ended:
            self.quic.stop_receiving(stream_id)
        self._tasks.pop(stream_id, None)
        self.quic.discard_unread(stream_id)

    def _cancel_request(self, stream_id: int) -> None:
        body = self._bodies.get(stream_id)
        if body is not None:
            body.mark_truncated()
        task = self._tasks.get(stream_id)
        if task is not None:
            task.cancel()

    def _handle_termination(self) -> None:
        self.ended = True
        if self._keepalive is not None:
            self._keepalive.cancel()
        if self._sender is not None:
            self._sender.mark_closed()
        for stream_id in tuple(self._tasks):
            self._cancel_request(stream_id)

    def _send_keepalive(self) -> None:
        """Send a ping if a request is running, so that the flow stays open.

        A client that has disconnected doesn't acknowledge the ping, so the
        idle timeout still closes the flow.
        """
        if self._tasks and not self.ended:
            self.quic.send_ping(id(self))
            self.transmit()
        self._schedule_keepalive()

    def _schedule_keepalive(self) -> None:
        """Schedule the next ping.

        A client may give up sooner than the sidecar, so the period follows the
        timeout that both have agreed on in the handshake.
        """
        period_s = self.quic.idle_timeout / KEEPALIVES_PER_IDLE_TIMEOUT
        self._keepalive = self._loop.call_later(
            max(period_s, MIN_KEEPALIVE_PERIOD_S),
            self._send_keepalive,
        )
