"""The TCP listeners of a daemon: HTTP pages, and pulls by its peers."""

__all__ = ('DaemonPages', 'Listeners')

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.exchange import ViewServer
from dragonflyshift._internal.carried.http_pages import HttpPages, Page
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.telemetry import (
    Counters,
    load_exposition,
)
from dragonflyshift._internal.exceptions import SettingsError

READY_PATH = '/ready'
METRICS_PATH = '/metrics'

_Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


@define(eq=False, repr=False)
class DaemonPages:
    """The HTTP pages of a daemon: its readiness for flows, and its metrics."""

    is_ready: Callable[[], bool]
    counters: Counters

    def handler(self) -> _Handler:
        """Return the handler of a connection."""
        pages = HttpPages(
            {READY_PATH: self._ready, METRICS_PATH: self._metrics},
        )
        return pages.handle

    async def _ready(self) -> Page:
        if self.is_ready():
            return Page(200, b'ready\n')
        return Page(503, b'not ready\n')

    async def _metrics(self) -> Page:
        # The first call imports a library, which takes longer than a packet
        # may wait.
        await asyncio.to_thread(load_exposition)
        return Page(200, self.counters.exposition())


@define(eq=False, repr=False)
class Listeners:
    """The open TCP listeners of a daemon."""

    _servers: list[asyncio.Server] = field(factory=list)

    async def open(
        self,
        settings: NodeSettings,
        pages: DaemonPages,
        views: ViewServer,
    ) -> None:
        """Listen at all addresses; raise SettingsError if one is in use."""
        handler = pages.handler()
        await self._listen(settings.readiness, handler)
        if settings.control is not None:
            await self._listen(settings.control, handler)
        if settings.metrics_port:
            metrics = (settings.readiness[0], settings.metrics_port)
            await self._listen(metrics, handler)
        await self._listen(settings.peers, views.handle)

    def close(self) -> None:
        """Accept no more connections."""
        for server in self._servers:
            server.close()

    async def _listen(self, address: SocketAddress, handler: _Handler) -> None:
        try:
            server = await asyncio.start_server(handler, *address)
        except OSError as exc:
            raise SettingsError(
                f'can not listen at {address[0]}:{address[1]}: {exc.strerror}',
                hint='check the address and that no other process uses it',
            ) from exc
        self._servers.append(server)
