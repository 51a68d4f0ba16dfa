"""Naive roles for carried flows, as a baseline.

Every balancer watches the store by itself and sends each packet to the
endpoint that its flow's hash falls on; sidecars hand packets through. No
look-up of owners, no peers, no limits.

Run from a scratch checkout with ``bench/naive_carried/system.toml`` as its
deploy file:
``python3 -m bench.naive_carried balancer``.
"""

import asyncio
import os
import signal
import sys

import xxhash

from dragonflyshift._internal.carried.fleet.source import HistoryLostError
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.http_pages import HttpPages, Page
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress, client_host
from dragonflyshift._internal.exceptions import PlatformError, WireError
from dragonflyshift._internal.utils.datagrams import PairSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.binding import SETTINGS_VARIABLE
from dragonflyshift.platform.packets import PlatformCodec
from dragonflyshift.platform.settings import read_settings
from dragonflyshift.platform.store import PlatformStore

RETRY_S = 0.3
ROLES = ('balancer', 'sidecar')


class NaiveBalancer:
    """Hash each packet over the endpoints that are ready."""

    def __init__(self, settings: NodeSettings) -> None:
        """Start with an empty view."""
        self.view = FleetView()
        self._settings = settings
        self._codec = PlatformCodec()
        self._peers: PairSocket | None = None

    async def run(self) -> None:
        """Forward packets and follow the store."""
        settings = self._settings
        if settings.fabric is None or settings.store is None:
            raise PlatformError('the settings lack the fabric or the store')
        sockets = BoundSockets()
        self._peers = PairSocket(sockets.take(settings.peers), _ignore)
        PairSocket(sockets.take(settings.fabric), self._forward)
        await self._follow(PlatformStore(settings.store))

    def is_ready(self) -> bool:
        """Tell whether a configuration is known."""
        return self.view.is_usable

    def _forward(self, raw: bytes, _pair: SocketAddress) -> None:
        try:
            key = self._codec.from_client(raw).key
        except WireError:
            return
        route = self.view.routes.find(key)
        if route is None or self._peers is None:
            return
        endpoints = sorted(
            record.address
            for record in self.view.endpoints(route.choose_service(key))
            if not record.is_leaving
        )
        if endpoints:
            number = xxhash.xxh3_64_intdigest(key) % len(endpoints)
            target = (endpoints[number][0], self._settings.peers[1])
            self._peers.send(raw, target)

    async def _follow(self, store: PlatformStore) -> None:
        while True:
            try:
                self.view.apply(await self._next(store))
            except HistoryLostError:
                self.view.revision = 0
            except PlatformError:
                await asyncio.sleep(RETRY_S)

    async def _next(self, store: PlatformStore) -> ViewUpdate:
        if self.view.revision:
            return await store.wait(self.view.revision)
        return await store.read_all()


class NaiveSidecar:
    """Hand packets through in both directions."""

    def __init__(self, settings: NodeSettings) -> None:
        """Prepare."""
        self._settings = settings
        self._codec = PlatformCodec()
        self._outbound: PairSocket | None = None

    async def run(self) -> None:
        """Forward packets for as long as the task lives."""
        settings = self._settings
        if settings.outbound is None:
            raise PlatformError('the settings lack the outbound address')
        sockets = BoundSockets()
        PairSocket(sockets.take(settings.peers), self._to_backend)
        outbound = sockets.take(settings.outbound)
        self._outbound = PairSocket(outbound, self._to_client)
        await asyncio.Event().wait()

    def is_ready(self) -> bool:
        """Tell that packets are taken."""
        return True

    def _to_backend(self, raw: bytes, _pair: SocketAddress) -> None:
        if self._outbound is not None and self._settings.backend is not None:
            self._outbound.send(raw, self._settings.backend)

    def _to_client(self, raw: bytes, _pair: SocketAddress) -> None:
        try:
            packet = self._codec.from_backend(raw)
        except WireError:
            return
        if self._outbound is None or packet.is_bounced:
            return
        client = (client_host(packet.key), self._settings.client_port)
        self._outbound.send(raw, client)


def _ignore(_raw: bytes, _pair: SocketAddress) -> None:
    """Take no note of a datagram."""


async def _serve(
    node: NaiveBalancer | NaiveSidecar, ready: SocketAddress
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    pages = HttpPages({'/ready': lambda: Page(200 if node.is_ready() else 503)})
    server = await asyncio.start_server(pages.handle, *ready)
    running = asyncio.create_task(node.run())
    await stop.wait()
    running.cancel()
    server.close()


def main() -> int:
    """Run a role until it is told to stop."""
    settings = read_settings(os.environ[SETTINGS_VARIABLE])
    node: NaiveBalancer | NaiveSidecar
    if sys.argv[1] == ROLES[0]:
        node = NaiveBalancer(settings)
    else:
        node = NaiveSidecar(settings)
    asyncio.run(_serve(node, settings.readiness))
    return 0


if __name__ == '__main__':
    sys.exit(main())
