"""A daemon that carries flows: sockets, gossip, store, pages, lifecycle."""

__all__ = ('CarryingNode',)

import asyncio
import logging
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable

from dragonflyshift._internal.carried.fleet.exchange import ViewServer
from dragonflyshift._internal.carried.fleet.gossip import Gossip, GossipPorts
from dragonflyshift._internal.carried.fleet.peers import PeerBook
from dragonflyshift._internal.carried.fleet.reader import StoreReader
from dragonflyshift._internal.carried.fleet.source import ViewSource
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.http_pages import HttpPages, Page
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import (
    Ask,
    Carry,
    Notice,
    Open,
    Placement,
    Status,
    decode_datagram,
)
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import (
    FlowKey,
    PacketCodec,
    Pair,
)
from dragonflyshift._internal.carried.policies.election import ReaderElection
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.utils.datagrams import PairSocket
from dragonflyshift._internal.utils.pause import PauseDetector

logger = logging.getLogger(__name__)

# The timeouts of openings and look-ups are multiples of it.
TICK_S = 0.02
SWEEP_EVERY_TICKS = 50
# Beyond it timers have not fired in time: the process stood still.
PAUSE_LIMIT_S = 0.7
READY_PATHS = ('/ready', '/readyz')
METRICS_PATHS = ('/metrics',)


class CarryingNode(ABC):
    """What balancers and sidecars of carried flows have in common."""

    is_balancer = False

    def __init__(
        self,
        settings: NodeSettings,
        codec: PacketCodec,
        source: ViewSource | None,
    ) -> None:
        """Prepare; ``start`` opens the sockets."""
        self.settings = settings
        self.codec = codec
        self.rng = random.Random(settings.name + str(time.time_ns()))
        self.view = FleetView()
        self.counters = Counters()
        self.is_leaving = False
        self.book = PeerBook(settings.peers, settings.seeds, self.rng)
        self.gossip = Gossip(
            is_balancer=self.is_balancer,
            data_center=settings.data_center,
            view=self.view,
            book=self.book,
            ports=GossipPorts(
                self.send_peer,
                self._view_changed,
                self.load,
                self._sidecar_pairs,
                self._is_reading,
            ),
        )
        self._election = ReaderElection(
            settings.peers,
            self.is_balancer,
            self.rng,
        )
        self._reader: StoreReader | None = None
        if source is not None:
            self._reader = StoreReader(
                self.view,
                source,
                self.rng,
                self._should_read,
                self._store_answered,
            )
        self._pauses = PauseDetector(PAUSE_LIMIT_S)
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self._peers: PairSocket | None = None
        self._ticks = 0
        self._routes_version = 0

    async def start(self) -> None:
        """Open the sockets and begin to work."""
        self._peers = PairSocket(self.settings.peers, self._peer_datagram)
        self.open_sockets()
        loop = asyncio.get_running_loop()
        if self._reader is not None:
            self._tasks.append(loop.create_task(self._reader.run()))
        self._tasks.append(loop.create_task(self._run_ticks()))
        await self._open_servers()
        self.gossip.greet(time.monotonic())
        logger.info(
            'started',
            extra={
                'first_start': self.settings.is_first_start,
                'seeds': [host for host, _port in self.settings.seeds],
            },
        )

    async def drain(self) -> None:
        """Leave: stay until nobody needs this process, then stop."""
        self.is_leaving = True
        self.gossip.is_leaving = True
        logger.info('draining')
        self.leave()
        self.gossip.greet(time.monotonic())
        await self.wait_until_unused()
        self.close()
        logger.info('stopped')

    def reconfigure(self, settings: NodeSettings) -> None:
        """Apply what may change while the process runs: the seeds."""
        logger.info(
            'settings-reloaded',
            extra={'seeds': [host for host, _port in settings.seeds]},
        )
        self.book.seeds = settings.seeds
        self.gossip.greet(time.monotonic())

    def close(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()

    def send_peer(self, datagram: bytes, pair: Pair) -> None:
        """Send a datagram to another daemon."""
        if self._peers is not None and pair[1]:
            self._peers.send(datagram, pair)

    def sidecar_of(self, record: EndpointRecord) -> Pair:
        """Return the address of the sidecar beside a backend server."""
        return (record.host, self.settings.peers[1])

    def client_pair(self, key: FlowKey) -> Pair:
        """Return where a client's host takes packets."""
        host = '.'.join(str(octet) for octet in key[:4])
        return (host, self.settings.client_port)

    def view_age_s(self, now: float) -> float:
        """Return the time since the store confirmed this view."""
        return self.gossip.age_s(now)

    @abstractmethod
    def open_sockets(self) -> None:
        """Open the role's own sockets."""

    @abstractmethod
    def leave(self) -> None:
        """Begin to leave."""

    @abstractmethod
    async def wait_until_unused(self) -> None:
        """Return once the process may stop."""

    @abstractmethod
    def load(self) -> LoadReport | None:
        """Return a sidecar's load."""

    @abstractmethod
    def flow_datagram(
        self,
        now: float,
        message: Open | Carry | Ask | Placement,
        pair: Pair,
    ) -> None:
        """Take a message on flows from another daemon."""

    @abstractmethod
    def status_heard(self, now: float, status: Status, pair: Pair) -> None:
        """Learn from a peer's status what the role needs."""

    @abstractmethod
    def view_changed(self, now: float) -> None:
        """Act on a changed view."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Go on with what waits."""

    @abstractmethod
    def sweep(self, now: float) -> None:
        """Drop what is old."""

    def _sidecar_pairs(self) -> Iterable[Pair]:
        return {self.sidecar_of(rec) for rec in self.view.records.values()}

    def _is_reading(self) -> bool:
        return self._reader is not None and self._reader.is_reading

    def _should_read(self) -> bool:
        now = time.monotonic()
        return self._election.should_read(
            now,
            self.book.readers(now),
            self.gossip.age_s(now),
            is_reading=self._is_reading(),
        )

    def _store_answered(self, changed: bool) -> None:
        now = time.monotonic()
        self.gossip.confirm(now)
        if changed:
            logger.info(
                'view-changed',
                extra={
                    'way': 'store',
                    'revision': self.view.revision,
                    'version': self.view.routes.version,
                },
            )
            self._view_changed()
            self.gossip.publish(now)

    def _view_changed(self) -> None:
        version = self.view.routes.version
        if version != self._routes_version:
            logger.info(
                'configuration-in-force',
                extra={'version': version, 'before': self._routes_version},
            )
            self._routes_version = version
        self.view_changed(time.monotonic())

    def _peer_datagram(self, raw: bytes, pair: Pair) -> None:
        now = time.monotonic()
        try:
            message = decode_datagram(raw)
        except WireError as exc:
            self.counters.incr('dropped_malformed')
            logger.debug('datagram-malformed', extra={'reason': str(exc)})
            return
        if isinstance(message, Status):
            self.status_heard(now, message, pair)
            self.gossip.on_status(now, message, pair)
        elif isinstance(message, Notice):
            self.gossip.on_notice(now, message, pair)
        else:
            self.flow_datagram(now, message, pair)

    async def _run_ticks(self) -> None:
        while True:
            now = time.monotonic()
            paused = self._pauses.observe(now)
            if paused:
                self._paused(now, paused)
            self._tick_once(now)
            await asyncio.sleep(TICK_S)

    def _tick_once(self, now: float) -> None:
        self._ticks += 1
        try:
            self.gossip.tick(now)
            self.tick(now)
            if not self._ticks % SWEEP_EVERY_TICKS:
                self.sweep(now)
            if self._reader is not None:
                names = self._reader.settle_doubts(now)
                if names:
                    self._view_changed()
                    self.gossip.publish(now, names)
        except Exception:
            # The next tick goes on; a daemon that stops serves nobody.
            logger.exception('tick-failed')

    def _paused(self, now: float, length: float) -> None:
        logger.warning('paused', extra={'seconds': round(length, 3)})
        self.gossip.note_pause()
        if self._reader is not None:
            self._reader.note_pause(now)
        self.gossip.greet(now)

    async def _open_servers(self) -> None:
        pages = HttpPages(
            {
                **dict.fromkeys(READY_PATHS, self._ready_page),
                **dict.fromkeys(METRICS_PATHS, self._metrics_page),
            },
        )
        await self._listen(self.settings.readiness, pages.handle)
        if self.settings.control is not None:
            await self._listen(self.settings.control, pages.handle)
        if self.settings.metrics_port:
            host = self.settings.readiness[0]
            address = (host, self.settings.metrics_port)
            await self._listen(address, pages.handle)
        views = ViewServer(self.view)
        await self._listen(self.settings.peers, views.handle)

    async def _listen(
        self,
        address: Pair,
        handle: object,
    ) -> None:
        server = await asyncio.start_server(
            handle,  # type: ignore[arg-type]
            address[0],
            address[1],
        )
        self._servers.append(server)

    def _ready_page(self) -> Page:
        if self.is_leaving or not self.is_ready():
            return Page(503, b'not ready\n')
        return Page(200, b'ready\n')

    def is_ready(self) -> bool:
        """Tell whether the fabric may send flows here."""
        return self.view.is_usable

    def _metrics_page(self) -> Page:
        return Page(200, self.counters.exposition())
