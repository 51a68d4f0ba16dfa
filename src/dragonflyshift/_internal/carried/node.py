"""A daemon that carries flows: sockets, gossip, store, pages, lifecycle."""

__all__ = ('CarryingNode',)

import asyncio
import logging
import random
import time
from abc import ABC, abstractmethod

from dragonflyshift._internal.carried.fleet.exchange import ViewServer
from dragonflyshift._internal.carried.fleet.member import (
    FleetMember,
    MemberCallbacks,
)
from dragonflyshift._internal.carried.fleet.source import ViewSource
from dragonflyshift._internal.carried.listeners import (
    DaemonPages,
    Listeners,
)
from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.messages import (
    ChangeNotice,
    DaemonStatus,
    Datagram,
    decode_datagram,
)
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import (
    PacketCodec,
    SocketAddress,
)
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.carried.ticker import Ticker
from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.utils.datagrams import PairSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift._internal.utils.pause import PauseDetector

logger = logging.getLogger(__name__)

MS_PER_S = 1000
MS_PER_S = 1000
SWEEP_PERIOD_S = 1.0
# Beyond it timers have not fired in time: the process stood still.
PAUSE_LIMIT_S = 0.7


class CarryingNode(ABC):
    """What balancers and sidecars of carried flows have in common."""

    is_balancer = False

    def __init__(
        self,
        settings: NodeSettings,
        codec: PacketCodec,
        source: ViewSource | None,
        sockets: BoundSockets,
    ) -> None:
        """Prepare; ``start`` opens what ``sockets`` doesn't hold."""
        self.settings = settings
        self.codec = codec
        self.sockets = sockets
        self.rng = random.Random(settings.name + str(time.time_ns()))
        self.counters = Counters()
        self.is_leaving = False
        self.member = FleetMember(
            settings,
            MemberCallbacks(self.send_peer, self.load, self.view_changed),
            source,
            self.rng,
            is_balancer=self.is_balancer,
        )
        self.view = self.member.view
        self._pauses = PauseDetector(PAUSE_LIMIT_S)
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners = Listeners()
        self._peers: PairSocket | None = None
        self._swept_at: float = 0
        # When a datagram of another daemon came in last.
        self.heard_at = time.monotonic()
        self.ticker = Ticker(self._tick_once)

    async def start(self) -> None:
        """Open the sockets and begin to work."""
        self._peers = PairSocket(
            self.sockets.take(self.settings.peers),
            self._peer_datagram,
        )
        self.open_sockets()
        loop = asyncio.get_running_loop()
        if self.member.reader is not None:
            self._tasks.append(loop.create_task(self.member.reader.run()))
        self.ticker.start()
        await self._listeners.open(
            self.settings,
            DaemonPages(self.is_ready, self.counters),
            ViewServer(self.view),
        )
        self.member.gossip.request_statuses(time.monotonic())
        logger.info(
            'started',
            extra={
                'first_start': self.settings.is_first_start,
                'loading_ms': int(self.sockets.age_s() * MS_PER_S),
                'seeds': [host for host, _port in self.settings.seeds],
            },
        )

    async def drain(self) -> None:
        """Leave: stay until nobody needs this process, then stop."""
        self.is_leaving = True
        self.member.gossip.is_leaving = True
        logger.info('draining')
        self.leave()
        self.member.gossip.request_statuses(time.monotonic())
        await self.wait_until_unused()
        self.close()
        logger.info('stopped')

    def close(self) -> None:
        """Close everything at once."""
        self.ticker.stop()
        for task in self._tasks:
            task.cancel()
        self._listeners.close()

    def send_peer(self, datagram: bytes, address: SocketAddress) -> None:
        """Send a datagram to another daemon."""
        if self._peers is not None and address[1]:
            self._peers.send(datagram, address)

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
        message: Datagram,
        address: SocketAddress,
    ) -> None:
        """Take a message on flows from another daemon."""

    @abstractmethod
    def status_heard(
        self, now: float, status: DaemonStatus, address: SocketAddress
    ) -> None:
        """Learn from a peer's status what the role needs."""

    @abstractmethod
    def view_changed(self, now: float) -> None:
        """Act on a changed view."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Go on with what waits."""

    @abstractmethod
    def has_waiting(self) -> bool:
        """Tell whether something waits for the next tick."""

    @abstractmethod
    def sweep(self, now: float) -> None:
        """Drop what is old."""

    def _peer_datagram(self, raw: bytes, address: SocketAddress) -> None:
        now = time.monotonic()
        self.heard_at = now
        try:
            message = decode_datagram(raw)
        except WireError as exc:
            self.counters.incr('dropped_malformed')
            logger.debug('datagram-malformed', extra={'reason': str(exc)})
            return
        if isinstance(message, DaemonStatus):
            self.status_heard(now, message, address)
            self.member.gossip.on_status(now, message, address)
        elif isinstance(message, ChangeNotice):
            self.member.gossip.on_notice(now, message, address)
        else:
            self.flow_datagram(now, message, address)
            if self.has_waiting():
                self.ticker.hurry()

    def _tick_once(self) -> bool:
        """Do the periodic work; return whether something waits."""
        now = time.monotonic()
        paused = self._pauses.observe(now)
        try:
            if paused:
                self.member.on_pause(now, paused)
            self.member.tick(now)
            self.tick(now)
            if now - self._swept_at > SWEEP_PERIOD_S:
                self._swept_at = now
                self.sweep(now)
        except Exception:
            # The next tick goes on; a daemon that stops serves nobody.
            logger.exception('tick-failed')
        return self.has_waiting()

    def is_ready(self) -> bool:
        """Tell whether the fabric may send flows here."""
        return self.view.is_usable and not self.is_leaving
