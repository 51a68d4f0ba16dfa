"""Daemon client over an authenticated message stream."""

import asyncio
import contextlib
from typing import TypeVar

from dragonflyshift._internal.cli.daemon_client import (
    TIMEOUT_SECONDS,
    DaemonClient,
    RouteQuery,
)
from dragonflyshift._internal.exceptions import PeerError, WireError
from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import (
    Message,
    RouteReply,
    RouteRequest,
    StatusReply,
    StatusRequest,
)
from dragonflyshift._internal.wire.stream import connect_stream

_HINT = "check the daemon's listen address and that it runs"

_KEYS_HINT = 'check that the fleet keys are those of the daemon'

_ReplyT = TypeVar('_ReplyT', bound=Message)


class StreamDaemonClient(DaemonClient):
    """Queries the daemon at an address."""

    def __init__(
        self,
        address: Address,
        keys: FleetKeys,
        timeout: float = TIMEOUT_SECONDS,
    ) -> None:
        """Configure the client; each query opens a new connection.

        ``timeout`` limits a query, including the connection, in seconds.
        """
        self._address = address
        self._keys = keys
        self._timeout = timeout

    async def status(self) -> bytes:
        """Return the daemon's status report."""
        reply = await self._request(StatusRequest(), StatusReply)
        return reply.report

    async def route(self, query: RouteQuery) -> bytes:
        """Return a report on where the packet or flow would be sent."""
        request = RouteRequest(
            service_address=str(query.service_address),
            packet=query.packet,
            flow_id=query.flow_id,
        )
        reply = await self._request(request, RouteReply)
        return reply.report

    async def _request(
        self, request: Message, reply_type: type[_ReplyT]
    ) -> _ReplyT:
        try:
            async with asyncio.timeout(self._timeout):
                return await self._exchange(request, reply_type)
        except TimeoutError as exc:
            raise PeerError(
                f'the daemon sent no reply within {self._timeout:g} s',
                context=str(self._address),
                hint=_HINT,
            ) from exc
        except PeerError as exc:
            raise PeerError(
                exc.message,
                context=str(self._address),
                hint=_HINT,
            ) from exc
        except WireError as exc:
            raise WireError(
                exc.message,
                context=str(self._address),
                hint=exc.hint or _KEYS_HINT,
            ) from exc

    async def _exchange(
        self,
        request: Message,
        reply_type: type[_ReplyT],
    ) -> _ReplyT:
        stream = await connect_stream(
            self._address,
            self._keys,
            self._timeout,
        )
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.callback(stream.abort)
            await stream.send(request)
            reply = await stream.receive()
        if isinstance(reply, reply_type):
            return reply
        raise WireError(
            f'the daemon sent an unexpected {type(reply).__name__}',
            hint='use a command line of the same version as the daemon',
        )
