"""HTTP/1.1 client for the local backend server of a sidecar."""

__all__ = (
    'BackendResponse',
    'BackendBrokenError',
    'BackendClient',
    'BackendRequest',
    'BackendUnreachableError',
    'ShortAnswerError',
)

from collections import deque
from collections.abc import AsyncIterator, Callable

from attrs import define, field

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.sidecar.backend_connection import (
    BackendConnection,
    BackendRequest,
    open_connection,
)
from dragonflyshift._internal.sidecar.backend_errors import (
    BackendBrokenError,
    BackendUnreachableError,
    ShortAnswerError,
)
from dragonflyshift._internal.sidecar.backend_headers import (
    Headers,
    strip_hop_by_hop,
)


@define(eq=False)
class BackendResponse:
    """The status and headers of a response, and its body as it arrives.

    Read ``chunks`` to the end or call ``close``. Closing early closes the
    connection, which informs the backend server that the response is no
    longer needed.
    """

    status: int
    headers: Headers
    _conn: BackendConnection
    _return_connection: Callable[[BackendConnection], None]
    _released: bool = field(init=False, default=False)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ShortAnswerError if it is truncated."""
        try:
            while (chunk := await self._conn.receive_chunk()) is not None:
                yield chunk
        except BaseException:
            self._release_connection()
            raise
        self._release_connection()

    async def close(self) -> None:
        """End the exchange; do nothing if the response has been read."""
        if not self._released:
            self._release_connection()
            await self._conn.wait_closed()

    def _release_connection(self) -> None:
        if self._released:
            return
        self._released = True
        self._return_connection(self._conn)


class BackendClient:
    """Sends requests to one backend server.

    At most ``idle_limit`` connections are kept for reuse.
    """

    def __init__(self, address: Address, idle_limit: int) -> None:
        """Set the address; connections are opened on demand."""
        self._address = address
        self._idle_limit = idle_limit
        self._idle: deque[BackendConnection] = deque()
        self._closed = False

    async def exchange(
        self,
        req: BackendRequest,
        body: AsyncIterator[bytes],
    ) -> BackendResponse:
        """Send a request and return the response once its head is received.

        Raises BackendUnreachableError if nothing was written, and
        BackendBrokenError if the outcome is unknown. Cancellation closes
        the connection.
        """
        conn = await self._acquire_connection(new_connection=req.new_connection)
        try:
            await conn.send(req, body)
            head = await conn.receive_head()
        except BaseException:
            conn.abort()
            raise
        return BackendResponse(
            head.status_code,
            strip_hop_by_hop(tuple(head.headers)),
            conn,
            self._return_connection,
        )

    async def close(self) -> None:
        """Close idle connections; running exchanges continue."""
        self._closed = True
        while self._idle:
            conn = self._idle.pop()
            conn.abort()
            await conn.wait_closed()

    async def _acquire_connection(
        self,
        *,
        new_connection: bool,
    ) -> BackendConnection:
        while self._idle and not new_connection:
            conn = self._idle.pop()
            conn.set_active()
            if conn.reusable:
                return conn
            conn.abort()
        return await open_connection(self._address)

    def _return_connection(self, conn: BackendConnection) -> None:
        if self._closed or not conn.reusable:
            conn.abort()
            return
        conn.set_idle()
        self._idle.append(conn)
        while len(self._idle) > self._idle_limit:
            self._idle.popleft().abort()
