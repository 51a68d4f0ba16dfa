"""Adapter to aioquic, and the only module that uses its private members.

``ServerConnection`` is a QUIC connection whose connection ids and reset tokens
are issued by this sidecar instead of a random source. It grants flow control
credit only for data that has been read, because the library doubles its
windows, so that a single client could fill the memory of a sidecar. The
version of aioquic is pinned; a test checks that the members used here exist.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.buffer import (  # type: ignore[attr-defined] # no __all__
    Buffer,
    encode_uint_var,
)
from aioquic.h3.connection import (
    ErrorCode,
    FrameType,
    H3Connection,
    encode_frame,
)
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId

MAX_ISSUED_IDS = 8
STREAM_WINDOW_BYTES = 512 * 1024
FLOW_WINDOW_BYTES = 1024 * 1024

IdHandler = Callable[[bytes], None]
IdSource = Callable[[], bytes]
TokenSource = Callable[[bytes], bytes]


class ServerProtocol(QuicConnectionProtocol):
    """Protocol that reports the connection ids in use to handlers."""

    def __init__(self, quic: 'ServerConnection') -> None:
        """Handle the events of ``quic``."""
        super().__init__(quic)
        self.quic = quic

    def bind(self, transport: Any) -> None:
        """Send through ``transport``, anything with a ``sendto`` method."""
        self.connection_made(transport)

    def set_id_handlers(
        self,
        issued: IdHandler,
        retired: IdHandler,
        ended: Callable[[], None],
    ) -> None:
        """Set handlers for issued and retired ids and for termination."""
        self._connection_id_issued_handler = issued
        self._connection_id_retired_handler = retired
        self._connection_terminated_handler = ended

    def transmit_soon(self) -> None:
        """Send pending data after the current callback."""
        self._transmit_soon()


class ServerConnection(QuicConnection):
    """A server's QUIC connection with ids issued by the sidecar."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_id: bytes,
        new_id: IdSource,
        reset_token: TokenSource,
    ) -> None:
        """Replace the random first connection id before it is sent."""
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_id,
        )
        self._new_id = new_id
        self._reset_token = reset_token
        self._unread: Counter[int] = Counter()
        self._unread_total = 0
        self._host_cids = [self._issue_id(0)]
        self._host_cids[0].was_sent = True
        self.host_cid = self._host_cids[0].cid
        self._local_initial_source_connection_id = self.host_cid

    @property
    def issued_ids(self) -> tuple[bytes, ...]:
        """The connection ids under which packets may arrive."""
        return tuple(item.cid for item in self._host_cids)

    @property
    def idle_timeout(self) -> float:
        """The seconds without a packet after which either end gives up.

        The client's own timeout is known after the handshake.
        """
        own: float = self._configuration.idle_timeout
        remote = self._remote_max_idle_timeout
        # A client without a timeout omits it or states zero.
        return min(own, remote) if remote else own

    def drop_handshake_buffers(self) -> None:
        """Free 48 KiB that the library allocates for the handshake.

        The server writes no handshake messages after the handshake, since it
        issues no session tickets.
        """
        self._crypto_buffers = {
            epoch: Buffer(capacity=0) for epoch in self._crypto_buffers
        }

    def note_unread(self, stream_id: int, change: int) -> None:
        """Count bytes that have arrived, or, if negative, have been read."""
        self._unread_total += change
        self._unread[stream_id] += change

    def discard_unread(self, stream_id: int) -> None:
        """Count the unread bytes of a stream as read."""
        self._unread_total -= self._unread.pop(stream_id, 0)

    def stop_receiving(self, stream_id: int) -> None:
        """Ask the client to stop sending on a stream that is not read."""
        stream = self._streams.get(stream_id)
        if stream is not None and not stream.receiver.is_finished:
            self.stop_stream(stream_id, ErrorCode.H3_NO_ERROR)

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of bytes of a stream not yet acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        sender = stream.sender
        return int(sender._buffer_stop - sender._buffer_start)

    def count_undelivered_streams(self) -> int:
        """Return the number of fully written but unacknowledged streams."""
        senders = [stream.sender for stream in self._streams.values()]
        return sum(
            sender._buffer_fin is not None and not sender.is_finished
            for sender in senders
        )

    def can_send(self, stream_id: int) -> bool:
        """Return whether the sending part of a stream is still open."""
        stream = self._streams.get(stream_id)
        return stream is not None and not stream.sender.is_finished

    def _replenish_connection_ids(self) -> None:
        limit = min(MAX_ISSUED_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(self._issue_id(self._host_cid_seq))
            self._host_cid_seq += 1

    def _write_stream_limits(
        self,
        builder: Any,
        space: Any,
        stream: Any,
    ) -> None:
        """Grant a fixed window beyond the bytes read, without doubling."""
        receiver = stream.receiver
        read = receiver.starting_offset() - self._unread[stream.stream_id]
        if stream.max_stream_data_local:
            stream.max_stream_data_local = _raise_limit(
                stream.max_stream_data_local,
                read + STREAM_WINDOW_BYTES,
            )
        highest = receiver.highest_offset
        receiver.highest_offset = 0
        super()._write_stream_limits(
            builder=builder,
            space=space,
            stream=stream,
        )
        receiver.highest_offset = highest

    def _write_connection_limits(self, builder: Any, space: Any) -> None:
        """Grant a fixed window beyond the bytes read, without doubling."""
        limit = self._local_max_data
        used = limit.used
        limit.value = _raise_limit(
            limit.value,
            used - self._unread_total + FLOW_WINDOW_BYTES,
        )
        limit.used = 0
        super()._write_connection_limits(builder=builder, space=space)
        limit.used = used

    def _issue_id(self, sequence_number: int) -> QuicConnectionId:
        cid = self._new_id()
        return QuicConnectionId(
            cid=cid,
            sequence_number=sequence_number,
            stateless_reset_token=self._reset_token(cid),
        )


def _raise_limit(granted: int, requested: int) -> int:
    """Raise a limit in steps, so that not every packet updates it."""
    if requested - granted < STREAM_WINDOW_BYTES // 2:
        return granted
    return requested


def send_goaway(
    quic: QuicConnection,
    http: H3Connection,
    stream_id: int,
) -> None:
    """Send a GOAWAY frame: requests from ``stream_id`` on are not processed.

    The library itself sends no GOAWAY frames (RFC 9114, section 5.2).
    """
    control = http._local_control_stream_id
    if control is None:
        return
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
    quic.send_stream_data(control, frame)
