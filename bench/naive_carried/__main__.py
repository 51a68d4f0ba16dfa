"""Baseline roles for carried flows.

Every balancer watches the store by itself and sends each packet to the
endpoint that the hash of its flow selects. Sidecars forward all packets except
bounced ones. There is no owner lookup, no exchange between daemons and no
limit.

Run from a scratch checkout with ``bench/naive_carried/system.toml`` as its
deploy file:
``python3 -m bench.naive_carried balancer``.
"""

import asyncio
import os
import signal
import sys
from functools import partial

import xxhash

from dragonflyshift._internal.carried.fleet.reader import HistoryLostError
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.http_pages import HttpPages, Page
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress, client_host
from dragonflyshift._internal.exceptions import PlatformError, WireError
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.binding import SETTINGS_VARIABLE
from dragonflyshift.platform.packets import PlatformCodec
from dragonflyshift.platform.settings import read_settings
from dragonflyshift.platform.store import PlatformStore

RETRY_S = 0.3
WATCH_S = 2.5
ROLES = ('balancer', 'sidecar')


class NaiveBalancer:
    """Sends each packet to an endpoint chosen by the hash of its flow.

    Endpoints that are leaving are excluded.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Create the balancer with an empty view of the fleet."""
        self.view = FleetView()
        self._settings = settings
        self._codec = PlatformCodec()
        self._peers: PlainUdpSocket | None = None

    async def run(self) -> None:
        """Forward packets and follow the store until cancelled.

        Raise ``PlatformError`` if an address is missing in the settings.
        """
        settings = self._settings
        if settings.fabric is None or settings.store is None:
            raise PlatformError(
                'the settings of the balancer lack a fabric or store address'
            )
        sockets = BoundSockets()
        self._peers = PlainUdpSocket(sockets.take(settings.peers), _ignore)
        PlainUdpSocket(sockets.take(settings.fabric), self._forward)
        await self._follow_store(PlatformStore(settings.store))

    def is_ready(self) -> bool:
        """Return whether a configuration has been read from the store."""
        return self.view.is_usable

    def _forward(self, raw: bytes, _source: SocketAddress) -> None:
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
            index = xxhash.xxh3_64_intdigest(key) % len(endpoints)
            target = (endpoints[index][0], self._settings.peers[1])
            self._peers.send(raw, target)

    async def _follow_store(self, store: PlatformStore) -> None:
        while True:
            try:
                self.view.apply(await self._read_update(store))
            except HistoryLostError:
                self.view.revision = 0
            except PlatformError:
                await asyncio.sleep(RETRY_S)

    async def _read_update(self, store: PlatformStore) -> ViewUpdate:
        if self.view.revision:
            return await store.wait(self.view.revision, WATCH_S)
        return await store.read_all()


class NaiveSidecar:
    """Forwards packets between the balancers, its server and the clients."""

    def __init__(self, settings: NodeSettings) -> None:
        """Create the sidecar without opening sockets."""
        self._settings = settings
        self._codec = PlatformCodec()
        self._outbound: PlainUdpSocket | None = None

    async def run(self) -> None:
        """Forward packets until cancelled.

        Raise ``PlatformError`` if an address is missing in the settings.
        """
        settings = self._settings
        if settings.outbound is None:
            raise PlatformError(
                'the settings of the sidecar lack an outbound address'
            )
        sockets = BoundSockets()
        PlainUdpSocket(sockets.take(settings.peers), self._to_backend)
        outbound = sockets.take(settings.outbound)
        self._outbound = PlainUdpSocket(outbound, self._to_client)
        await asyncio.Event().wait()

    def is_ready(self) -> bool:
        """Return True, because the sidecar needs no configuration."""
        return True

    def _to_backend(self, raw: bytes, _source: SocketAddress) -> None:
        if self._outbound is not None and self._settings.backend is not None:
            self._outbound.send(raw, self._settings.backend)

    def _to_client(self, raw: bytes, _source: SocketAddress) -> None:
        try:
            packet = self._codec.from_backend(raw)
        except WireError:
            return
        if self._outbound is None or packet.is_bounced:
            return
        client = (client_host(packet.key), self._settings.client_port)
        self._outbound.send(raw, client)


def _ignore(_raw: bytes, _source: SocketAddress) -> None:
    """Discard a datagram, because the daemons exchange none."""


async def _readiness_page(node: 'NaiveBalancer | NaiveSidecar') -> Page:
    return Page(200 if node.is_ready() else 503)


async def _serve(
    node: NaiveBalancer | NaiveSidecar, readiness_address: SocketAddress
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    pages = HttpPages({'/ready': partial(_readiness_page, node)})
    server = await asyncio.start_server(pages.handle, *readiness_address)
    running = asyncio.create_task(node.run())
    await stop.wait()
    running.cancel()
    server.close()


def main() -> int:
    """Run the role named on the command line until SIGTERM arrives."""
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
