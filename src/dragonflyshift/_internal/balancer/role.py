"""The balancer role: lifecycle and wiring of its parts."""

import asyncio
import logging
import random
import time

from dragonflyshift._internal.balancer.forwarder import (
    Forwarder,
    ForwarderPorts,
)
from dragonflyshift._internal.balancer.reports import BalancerReports
from dragonflyshift._internal.balancer.sockets import ServiceSockets
from dragonflyshift._internal.balancer.steering import (
    Steering,
    SteeringContext,
)
from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.config import ConfigurationChange, WatchScope
from dragonflyshift._internal.control import ConfigurationFeed, ControlServer
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.kernel.role import DaemonRole
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.kernel.tasks import TaskGroup
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.models.documents import INDEX_KEY
from dragonflyshift._internal.recovery import PauseDetector, watch_pauses
from dragonflyshift._internal.routing import CandidateChoice
from dragonflyshift._internal.telemetry import create_metrics, create_tracing
from dragonflyshift._internal.utils.udp import DatagramSocket
from dragonflyshift._internal.wire import ConnectionIdCodec, DatagramCodec

logger = logging.getLogger(__name__)

PAUSE_LIMIT_SECONDS = 1.0
QUIET_SECONDS = 1.0
DRAIN_LIMIT_SECONDS = 30.0
DRAIN_POLL_SECONDS = 0.1


class BalancerRole(DaemonRole, name='balancer'):
    """Steer packets on the service addresses to sidecars."""

    def __init__(self, settings: Settings) -> None:
        """Wire the parts together."""
        super().__init__(settings)
        self._tasks = TaskGroup()
        self._feed = ConfigurationFeed(
            settings,
            WatchScope(),
            self._tasks,
            random.Random(),
        )
        self._metrics = create_metrics(settings)
        self._tracing = create_tracing(settings)
        self._views = ServiceViews()
        self._steering = self._create_steering()
        self._sockets = ServiceSockets(settings.entry_ip, self._client_packet)
        self._forwarder = self._create_forwarder()
        self._control = ControlServer(
            settings.listen,
            settings.fleet_keys,
            self._feed.store,
            BalancerReports(
                settings,
                self._feed.store,
                self._views,
                self._steering,
                self._metrics,
            ),
        )
        self._datagrams: DatagramSocket | None = None
        self._last_packet_at = time.monotonic()

    async def start(self) -> None:
        """Read the configuration, then open the service addresses."""
        self._datagrams = DatagramSocket.bind(
            self.settings.listen,
            self._forwarder.sidecar_datagram,
            self._views.refused,
        )
        await self._control.start()
        self._feed.store.changes.subscribe(self._changed)
        self._tasks.start(self._metrics.run(), 'metrics')
        self._tasks.start(
            watch_pauses(PauseDetector(PAUSE_LIMIT_SECONDS), self._paused),
            'pauses',
        )
        await self._feed.start(INDEX_KEY)
        await self._feed.wait_until(self._has_services)

    async def drain(self) -> None:
        """Ask for no more replies; forward until the fabric stops sending.

        A balancer has nothing in progress, so packets that still arrive are
        simply carried on.
        """
        self._forwarder.leaving = True
        ends_at = time.monotonic() + (
            self.settings.drain_timeout or DRAIN_LIMIT_SECONDS
        )
        self._last_packet_at = time.monotonic()
        while time.monotonic() < ends_at:
            quiet = time.monotonic() - self._last_packet_at
            if quiet >= QUIET_SECONDS:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def close(self) -> None:
        """Close all sockets and end all tasks."""
        await self._tasks.close()
        await self._control.close()
        await self._feed.close()
        self._sockets.close()
        if self._datagrams is not None:
            self._datagrams.close()
        self._tracing.shutdown()
        self._metrics.close()

    def _create_steering(self) -> Steering:
        choice = find_plugin(CandidateChoice, self.settings.candidate_choice)
        steering = find_plugin(Steering, self.settings.steering)
        return steering(
            SteeringContext(
                ConnectionIdCodec(self.settings.fleet_keys),
                choice(),
                self._views.candidates,
                self.settings.data_center,
                self.settings.region,
            ),
        )

    def _create_forwarder(self) -> Forwarder:
        return Forwarder(
            self.settings.listen,
            DatagramCodec(self.settings.fleet_keys),
            self._steering,
            self._views,
            self._feed.store,
            self._metrics,
            self._tracing,
            ForwarderPorts(
                self._to_sidecar,
                self._sockets.send,
                self._feed.pull_newer_version,
            ),
        )

    def _to_sidecar(self, datagram: bytes, sidecar: Address) -> None:
        if self._datagrams is not None:
            self._datagrams.send(datagram, sidecar)

    def _client_packet(
        self,
        service: Address,
        packet: bytes,
        client: Address,
    ) -> None:
        self._last_packet_at = time.monotonic()
        self._forwarder.client_packet(service, packet, client)

    def _changed(self, change: ConfigurationChange) -> None:
        index = self._feed.store.index
        if index is None:
            return
        for entry in index.services:
            self._sockets.open(entry.addresses)
            service = self._feed.store.service(entry.name)
            if service is not None:
                self._views.retain(service)
        logger.info(
            'configuration-in-force',
            extra={'key': change.key, 'version': change.version},
        )

    def _has_services(self) -> bool:
        """Tell whether each service of the index is known."""
        store = self._feed.store
        services = store.index.services if store.index else ()
        return all(store.service(entry.name) for entry in services)

    def _paused(self, length: float) -> None:
        logger.warning('pause-noticed', extra={'seconds': round(length, 3)})
        self._views.reset()
