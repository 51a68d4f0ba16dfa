"""Stream server that every daemon runs on its listen address.

It responds to status and route requests of the command line and to document
requests of peers. Each role registers further handlers.
"""

import asyncio
import json
import logging
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.exceptions import PeerError, WireError
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import (
    DocumentReply,
    DocumentRequest,
    Message,
    RouteReply,
    RouteRequest,
    StatusReply,
    StatusRequest,
)
from dragonflyshift._internal.wire.stream import MessageStream, StreamServer

logger = logging.getLogger(__name__)

# A connection without messages is closed after this time, so that an
# unresponsive peer does not occupy one of the server's connections.
IDLE_LIMIT_SECONDS = 10.0

Handler = Callable[[MessageStream, Any], Awaitable[None]]


class ReportProvider(ABC):
    """Reports of a role to the command line, as JSON objects."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the daemon's role, configuration, members and load."""

    @abstractmethod
    def route(self, request: RouteRequest) -> dict[str, Any]:
        """Return where a packet or a new flow would be sent, and why."""


class ControlServer:
    """Handles the messages of each stream one after another."""

    def __init__(
        self,
        address: Address,
        keys: FleetKeys,
        store: ConfigurationStore,
        report_provider: ReportProvider,
    ) -> None:
        """Create the server; it listens after ``start``."""
        self._store = store
        self._report_provider = report_provider
        self._server = StreamServer(address, keys, self._serve)
        self._handlers: dict[type[Message], Handler] = {
            StatusRequest: self._status,
            RouteRequest: self._route,
            DocumentRequest: self._document,
        }

    def add_handler(self, message: type[Message], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[message] = handler

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening and close all streams."""
        await self._server.close()

    async def _serve(self, stream: MessageStream) -> None:
        try:
            await self._serve_messages(stream)
        except (PeerError, WireError) as exc:
            logger.debug('stream-ended', extra={'reason': exc.message})

    async def _serve_messages(self, stream: MessageStream) -> None:
        while True:
            message = await _receive(stream)
            handler = self._handlers.get(type(message))
            if handler is None:
                raise WireError(f'{type(message).__name__} is not expected')
            await handler(stream, message)

    async def _status(
        self,
        stream: MessageStream,
        _request: StatusRequest,
    ) -> None:
        report = json.dumps(self._report_provider.status())
        await stream.send(StatusReply(report.encode()))

    async def _route(
        self,
        stream: MessageStream,
        request: RouteRequest,
    ) -> None:
        report = json.dumps(self._report_provider.route(request))
        await stream.send(RouteReply(report.encode()))

    async def _document(
        self,
        stream: MessageStream,
        request: DocumentRequest,
    ) -> None:
        version = self._store.version(request.key) or 0
        raw = b''
        if version > request.above:
            raw = self._store.raw(request.key) or b''
        await stream.send(DocumentReply(request.key, version, raw))


async def _receive(stream: MessageStream) -> Message:
    try:
        async with asyncio.timeout(IDLE_LIMIT_SECONDS):
            return await stream.receive()
    except TimeoutError as exc:
        raise PeerError(
            f'the peer sent no message within {IDLE_LIMIT_SECONDS:g} s',
        ) from exc
