"""The one module that touches private parts of aioquic.

``IssuedConnection`` is a QUIC connection whose ids and reset tokens come
from this sidecar instead of a random source, and whose streams hold the
sender back. The version of aioquic is pinned; a test checks that the names
used here are still there.
"""

from collections.abc import Callable
from typing import Any

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId

MAX_ISSUED_IDS = 8

IdHandler = Callable[[bytes], None]
IdSource = Callable[[], bytes]
TokenSource = Callable[[bytes], bytes]


class IssuedProtocol(QuicConnectionProtocol):
    """A connection that tells its owner which ids are in use."""

    def __init__(self, quic: 'IssuedConnection') -> None:
        """Bind the connection."""
        super().__init__(quic)
        self.quic = quic

    def bind(self, transport: Any) -> None:
        """Send through ``transport``, anything with a ``sendto`` method."""
        self.connection_made(transport)

    def on_ids(
        self,
        issued: IdHandler,
        retired: IdHandler,
        ended: Callable[[], None],
    ) -> None:
        """Call back when an id comes into use or retires, and at the end."""
        self._connection_id_issued_handler = issued
        self._connection_id_retired_handler = retired
        self._connection_terminated_handler = ended

    def transmit_soon(self) -> None:
        """Send what is pending once the current callback is done."""
        self._transmit_soon()


class IssuedConnection(QuicConnection):
    """A server's connection with connection ids that it is given."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_id: bytes,
        new_id: IdSource,
        reset_token: TokenSource,
    ) -> None:
        """Replace the random first id before anything was sent."""
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_id,
        )
        self._new_id = new_id
        self._reset_token = reset_token
        self._held_streams: set[int] = set()
        self._host_cids = [self._issue(0)]
        self._host_cids[0].was_sent = True
        self.host_cid = self._host_cids[0].cid
        self._local_initial_source_connection_id = self.host_cid

    @property
    def issued_ids(self) -> tuple[bytes, ...]:
        """The ids under which packets may arrive."""
        return tuple(item.cid for item in self._host_cids)

    def hold(self, stream_id: int, held: bool) -> None:
        """Grant a stream no more flow control while it is held."""
        if held:
            self._held_streams.add(stream_id)
        else:
            self._held_streams.discard(stream_id)

    def unsent_bytes(self, stream_id: int) -> int:
        """Return the bytes of a stream that wait to be acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        sender = stream.sender
        return int(sender._buffer_stop - sender._buffer_start)

    def can_send(self, stream_id: int) -> bool:
        """Tell whether the sending part of a stream is still open."""
        stream = self._streams.get(stream_id)
        return stream is not None and not stream.sender.is_finished

    def _replenish_connection_ids(self) -> None:
        limit = min(MAX_ISSUED_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(self._issue(self._host_cid_seq))
            self._host_cid_seq += 1

    def _write_stream_limits(
        self,
        builder: Any,
        space: Any,
        stream: Any,
    ) -> None:
        if stream.stream_id not in self._held_streams:
            super()._write_stream_limits(
                builder=builder,
                space=space,
                stream=stream,
            )

    def _issue(self, sequence_number: int) -> QuicConnectionId:
        cid = self._new_id()
        return QuicConnectionId(
            cid=cid,
            sequence_number=sequence_number,
            stateless_reset_token=self._reset_token(cid),
        )


def send_goaway(
    quic: QuicConnection,
    http: H3Connection,
    stream_id: int,
) -> None:
    """Tell that requests from ``stream_id`` on will not be processed.

    The library sends no GOAWAY frame (RFC 9114, section 5.2) by itself.
    """
    control = http._local_control_stream_id
    if control is None:
        return
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
    quic.send_stream_data(control, frame)
