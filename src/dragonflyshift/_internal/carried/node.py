"""The base of balancers and sidecars: sockets, gossip, pages, lifecycle."""

__all__ = ('BaseNode',)

import logging
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial

from dragonflyshift._internal.carried.background import (
    TaskSupervisor,
    Ticker,
)
from dragonflyshift._internal.carried.fleet.exchange import ViewServer
from dragonflyshift._internal.carried.fleet.member import (
    FleetMember,
    MemberCallbacks,
)
from dragonflyshift._internal.carried.fleet.reader import ViewSource
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
from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift._internal.utils.pause import PauseDetector

logger = logging.getLogger(__name__)

MS_PER_S = 1000
SWEEP_PERIOD_S = 1.0
# Timers that fire later than this show that the process was suspended.
PAUSE_LIMIT_S = 0.7


class BaseNode(ABC):
    """The base class of balancers and sidecars of carried flows."""

    is_balancer = False

    def __init__(
        self,
        settings: NodeSettings,
        codec: PacketCodec,
        source: ViewSource | None,
        sockets: BoundSockets,
    ) -> None:
        """Create the parts; ``start`` opens sockets that aren't bound yet."""
        self.settings = settings
        self.codec = codec
        self.sockets = sockets
        self.rng = random.Random(settings.name + str(time.time_ns()))
        self.counters = Counters()
        self.is_leaving = False
        self.member = FleetMember(
            settings,
            MemberCallbacks(self.send_to_peer, self.load, self.on_view_changed),
            source,
            self.rng,
            is_balancer=self.is_balancer,
        )
        self.view = self.member.view
        self._pauses = PauseDetector(PAUSE_LIMIT_S)
        self.tasks = TaskSupervisor(self.counters, self.rng)
        self._views = ViewServer(self.view)
        self.counters.gauge(
            'failed_pulls',
            lambda: self.member.gossip.puller.failures + self._views.failures,
        )
        self.count_datagram_failure = partial(
            self.counters.incr, 'datagram_failures'
        )
        self._listeners = Listeners()
        self._peer_socket: PlainUdpSocket | None = None
        self._last_sweep_at: float = 0
        # When the last datagram from another daemon arrived.
        self.last_datagram_at = time.monotonic()
        self.ticker = Ticker(self._on_tick)

    async def start(self) -> None:
        """Open the sockets and start the tasks of the daemon."""
        self._peer_socket = PlainUdpSocket(
            self.sockets.take(self.settings.peers),
            self._on_peer_datagram,
            self.count_datagram_failure,
        )
        self.open_role_sockets()
        if self.member.reader is not None:
            self.tasks.start('store-reader', self.member.reader.run)
        self.ticker.start()
        await self._listeners.open(
            self.settings,
            DaemonPages(self.is_ready, self.counters),
            self._views,
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
        """Leave, wait until the process is no longer in use, and stop."""
        self.is_leaving = True
        self.member.gossip.is_leaving = True
        logger.info('draining')
        self.leave()
        self.member.gossip.request_statuses(time.monotonic())
        await self.wait_until_unused()
        self.close()
        logger.info('stopped')

    def close(self) -> None:
        """Stop the tasks and close the listeners at once."""
        self.ticker.stop()
        self.tasks.cancel()
        self._listeners.close()

    def send_to_peer(self, datagram: bytes, address: SocketAddress) -> None:
        """Send a datagram to another daemon."""
        if self._peer_socket is not None and address[1]:
            self._peer_socket.send(datagram, address)

    @abstractmethod
    def open_role_sockets(self) -> None:
        """Open the sockets that only this role has."""

    @abstractmethod
    def leave(self) -> None:
        """Start to leave."""

    @abstractmethod
    async def wait_until_unused(self) -> None:
        """Return once the process may stop."""

    @abstractmethod
    def load(self) -> LoadReport | None:
        """Return the load of a sidecar, None on a balancer."""

    @abstractmethod
    def on_flow_datagram(
        self,
        now: float,
        message: Datagram,
        address: SocketAddress,
    ) -> None:
        """Handle a message about flows from another daemon."""

    @abstractmethod
    def on_status(
        self, now: float, status: DaemonStatus, address: SocketAddress
    ) -> None:
        """Handle what concerns this role in a peer's status."""

    @abstractmethod
    def on_view_changed(self, now: float) -> None:
        """Adapt to a changed view."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Check the timeouts of pending work."""

    @abstractmethod
    def has_waiting(self) -> bool:
        """Return whether any work waits for the next tick."""

    @abstractmethod
    def sweep(self, now: float) -> None:
        """Drop expired state."""

    def _on_peer_datagram(self, raw: bytes, address: SocketAddress) -> None:
        now = time.monotonic()
        self.last_datagram_at = now
        try:
            message = decode_datagram(raw)
        except WireError as exc:
            self.counters.incr('dropped_malformed')
            logger.debug('datagram-malformed', extra={'reason': str(exc)})
            return
        if isinstance(message, DaemonStatus):
            self.on_status(now, message, address)
            self.member.gossip.on_status(now, message, address)
        elif isinstance(message, ChangeNotice):
            self.member.gossip.on_notice(now, message, address)
        else:
            self.on_flow_datagram(now, message, address)
            if self.has_waiting():
                self.ticker.activate()

    def _on_tick(self) -> bool:
        """Do the periodic work; return whether any work waits."""
        now = time.monotonic()
        pause_s = self._pauses.observe(now)
        if pause_s:
            _run_part(self.counters, self.member.on_pause, now, pause_s)
        _run_part(self.counters, self.member.tick, now)
        _run_part(self.counters, self.tick, now)
        if now - self._last_sweep_at > SWEEP_PERIOD_S:
            self._last_sweep_at = now
            _run_part(self.counters, self.sweep, now)
        return self.has_waiting()

    def is_ready(self) -> bool:
        """Return whether the network may send flows to this daemon."""
        return self.view.is_usable and not self.is_leaving


def _run_part(
    counters: Counters, work: Callable[..., None], *times: float
) -> None:
    """Do a part of the periodic work, whose failure stops no other."""
    try:
        work(*times)
    except Exception:
        logger.exception('tick-failed')
        counters.incr('tick_failures')
