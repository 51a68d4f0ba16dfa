"""HTTP/1.1 client for the one backend server beside the sidecar."""

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
    """The head of an answer, and its body as it arrives.

    Read ``chunks`` to the end or call ``close``; closing early ends the
    connection, by which the backend server learns that nobody waits.
    """

    status: int
    headers: Headers
    _conn: BackendConnection
    _give_back: Callable[[BackendConnection], None]
    _settled: bool = field(init=False, default=False)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ShortAnswerError when it is cut."""
        try:
            while (chunk := await self._conn.receive_chunk()) is not None:
                yield chunk
        except BaseException:
            self._settle()
            raise
        self._settle()

    async def close(self) -> None:
        """End the exchange; harmless when the answer has been read."""
        if not self._settled:
            self._settle()
            await self._conn.wait_closed()

    def _settle(self) -> None:
        if self._settled:
            return
        self._settled = True
        self._give_back(self._conn)


class BackendClient:
    """Exchange requests and answers with one backend server.

    At most ``idle_limit`` connections are kept for reuse.
    """

    def __init__(self, address: Address, idle_limit: int) -> None:
        """Connect to nothing yet."""
        self._address = address
        self._idle_limit = idle_limit
        self._idle: deque[BackendConnection] = deque()
        self._closed = False

    async def exchange(
        self,
        req: BackendRequest,
        body: AsyncIterator[bytes],
    ) -> BackendResponse:
        """Send a request and return once the head of the answer is there.

        Raises BackendUnreachableError if nothing was written and
        BackendBrokenError if the outcome is unknown. Cancelling closes the
        connection.
        """
        conn = await self._take(fresh=req.fresh)
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
            self._give_back,
        )

    async def close(self) -> None:
        """Close the connections at rest; running exchanges go on."""
        self._closed = True
        while self._idle:
            conn = self._idle.pop()
            conn.abort()
            await conn.wait_closed()

    async def _take(self, *, fresh: bool) -> BackendConnection:
        while self._idle and not fresh:
            conn = self._idle.pop()
            conn.wake()
            if conn.reusable:
                return conn
            conn.abort()
        return await open_connection(self._address)

    def _give_back(self, conn: BackendConnection) -> None:
        if self._closed or not conn.reusable:
            conn.abort()
            return
        conn.rest()
        self._idle.append(conn)
        while len(self._idle) > self._idle_limit:
            self._idle.popleft().abort()
