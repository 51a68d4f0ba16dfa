"""One flow: a client's QUIC connection with its HTTP/3 requests."""

import asyncio
import functools
import logging
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

from dragonflyshift._internal.sidecar.quic import (
    IssuedConnection,
    IssuedProtocol,
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
LAST_STREAM_ID = (1 << 62) - 4
STREAM_ID_STEP = 4


RequestHandler = Callable[
    ['Flow', HeaderList, RequestBody, ResponseSink],
    Awaitable[None],
]


class Flow(IssuedProtocol):
    """End a client's connection and run one task for each request."""

    def __init__(
        self,
        quic: IssuedConnection,
        handler: RequestHandler,
        first_id: bytes,
        idle_timeout: float,
    ) -> None:
        """Keep ``first_id``, the id that the client chose, for traces."""
        super().__init__(quic)
        self.first_id = first_id
        self._handler = handler
        self._keepalive_period = idle_timeout / KEEPALIVES_PER_IDLE_TIMEOUT
        self._http: H3Connection | None = None
        self._sender: StreamSender | None = None
        self._bodies: dict[int, RequestBody] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._keepalive = self._loop.call_later(
            self._keepalive_period,
            self._send_keepalive,
        )
        self._refusing = False
        self._next_stream_id = 0
        self.last_request_at = time.monotonic()
        self.confirmed = False
        self.ended = False

    @property
    def open_requests(self) -> int:
        """Requests whose answer the client doesn't have to its end.

        An answer that was written whole may still wait for a slow client;
        closing the flow would cut it.
        """
        return max(len(self._tasks), self.quic.undelivered())

    def quic_event_received(self, event: QuicEvent) -> None:
        """React to an event of the connection."""
        if isinstance(event, ProtocolNegotiated):
            if event.alpn_protocol in H3_ALPN:
                self._http = H3Connection(self.quic)
                self._sender = StreamSender(self, self._http)
        elif isinstance(event, HandshakeCompleted):
            self.confirmed = True
            self.quic.drop_handshake_buffers()
        elif isinstance(event, ConnectionTerminated):
            self._end()
        elif isinstance(event, (StreamReset, StopSendingReceived)):
            self._cancel(event.stream_id)
        if self._http is not None:
            for http_event in self._http.handle_event(event):
                self._http_event(http_event)

    def datagram_received(self, data: bytes | str, addr: object) -> None:
        """Take in a packet; answers that waited for room may go on."""
        super().datagram_received(data, addr)
        if self._sender is not None:
            self._sender.progress.set()

    def announce_leaving(self) -> None:
        """Ask the client to open its next requests on another connection.

        Requests that arrive all the same are still served.
        """
        self._send_goaway(LAST_STREAM_ID)

    def close_gracefully(self, after: float) -> None:
        """Reject further requests as not run, then close after a while.

        The client hears before the end which requests were not processed.
        """
        if self._refusing or self.ended:
            return
        self._refusing = True
        self._send_goaway(self._next_stream_id)
        self._loop.call_later(after, self.close, ErrorCode.H3_NO_ERROR)

    def _send_goaway(self, stream_id: int) -> None:
        if self._http is None or self.ended:
            return
        send_goaway(self.quic, self._http, stream_id)
        self.transmit()

    def _http_event(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            self._request_started(event)
        elif isinstance(event, DataReceived):
            self._body_arrived(event)

    def _request_started(self, event: HeadersReceived) -> None:
        stream_id = event.stream_id
        present = self._bodies.get(stream_id)
        if present is not None:
            # Trailers: their fields are dropped, the end is taken in.
            present.feed(b'', event.stream_ended)
            return
        if self._refusing or len(self._tasks) >= MAX_STREAMS_PER_FLOW:
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
            self._handle(stream_id, tuple(event.headers), body),
            name=f'request-{stream_id}',
        )
        self._tasks[stream_id] = task

    def _body_arrived(self, event: DataReceived) -> None:
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

    async def _handle(
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
            logger.debug('client-gone', extra={'stream': stream_id})
        except Exception:
            logger.exception('request-failed')
            await sink.abort()
        finally:
            self._forget(stream_id)

    def _forget(self, stream_id: int) -> None:
        body = self._bodies.pop(stream_id, None)
        if body is not None and not body.ended and not self.ended:
            self.quic.refuse_rest(stream_id)
        self._tasks.pop(stream_id, None)
        self.quic.forget_unread(stream_id)

    def _cancel(self, stream_id: int) -> None:
        body = self._bodies.get(stream_id)
        if body is not None:
            body.mark_truncated()
        task = self._tasks.get(stream_id)
        if task is not None:
            task.cancel()

    def _end(self) -> None:
        self.ended = True
        self._keepalive.cancel()
        if self._sender is not None:
            self._sender.end()
        for stream_id in tuple(self._tasks):
            self._cancel(stream_id)

    def _send_keepalive(self) -> None:
        """Keep a quiet flow open while a request runs on it.

        A client that is gone doesn't acknowledge, so the idle timeout still
        ends the flow.
        """
        if self._tasks and not self.ended:
            self.quic.send_ping(id(self))
            self.transmit()
        self._keepalive = self._loop.call_later(
            self._keepalive_period,
            self._send_keepalive,
        )
