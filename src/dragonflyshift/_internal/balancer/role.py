"""The balancer role: lifecycle and wiring of its components."""

import asyncio
import logging
import random
import time

from dragonflyshift._internal.balancer.forwarder import (
    Forwarder,
    ForwarderCallbacks,
)
from dragonflyshift._internal.balancer.reports import BalancerReports
from dragonflyshift._internal.balancer.sockets import ServiceSockets
from dragonflyshift._internal.balancer.steering import (
    Steering,
    SteeringContext,
)
from dragonflyshift._internal.balancer.views import ServiceViews
from dragonflyshift._internal.config import ConfigurationChange, WatchScope
from dragonflyshift._internal.config.evacuation import EvacuationLog
from dragonflyshift._internal.control import ConfigurationFeed, ControlServer
from dragonflyshift._internal.kernel.registry import find_plugin
from dragonflyshift._internal.kernel.role import DaemonRole
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.models.documents import INDEX_KEY
from dragonflyshift._internal.recovery import PauseDetector, watch_pauses
from dragonflyshift._internal.routing import CandidateChoice
from dragonflyshift._internal.telemetry import create_metrics, create_tracing
from dragonflyshift._internal.utils.udp import DatagramSocket
from dragonflyshift._internal.wire import ConnectionIdCodec, DatagramCodec

logger = logging.getLogger(__name__)

PAUSE_LIMIT_SECONDS = 1.0
IDLE_SECONDS = 1.0
DRAIN_LIMIT_SECONDS = 30.0
DRAIN_POLL_SECONDS = 0.1


class BalancerRole(DaemonRole, name='balancer'):
    """Forwards packets from the service addresses to sidecars."""

    def __init__(self, settings: Settings) -> None:
        """Create and connect the components."""
        super().__init__(settings)
        self._tasks = BackgroundTasks()
        self._feed = ConfigurationFeed(
            settings,
            WatchScope(),
            self._tasks,
            random.Random(),
        )
        self._metrics = create_metrics(settings)
        self._tracing = create_tracing(settings)
        self._views = ServiceViews()
        self._evacuations = EvacuationLog()
        self._steering = self._create_steering()
        self._sockets = ServiceSockets(
            settings.entry_ip, self._on_client_packet
        )
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
                self._evacuations,
            ),
        )
        self._datagrams: DatagramSocket | None = None
        self._last_packet_at = time.monotonic()

    async def start(self) -> None:
        """Start the components; return once every service is configured.

        The sockets of the service addresses are opened as the configuration
        is read.
        """
        self._datagrams = DatagramSocket.bind(
            self.settings.listen,
            self._forwarder.handle_sidecar_datagram,
            self._views.record_refusal,
        )
        await self._control.start()
        self._feed.store.changes.subscribe(self._on_configuration_change)
        self._tasks.start(self._metrics.run(), 'metrics')
        self._tasks.start(
            watch_pauses(PauseDetector(PAUSE_LIMIT_SECONDS), self._on_pause),
            'pauses',
        )
        await self._feed.start(INDEX_KEY)
        await self._feed.wait_until(self._has_all_services)

    async def drain(self) -> None:
        """Redirect replies to other balancers, and wait for traffic to stop.

        A balancer holds no requests or flows that would have to complete.
        Client packets that still arrive are forwarded until none has arrived
        for IDLE_SECONDS or the drain timeout has passed.
        """
        self._forwarder.leaving = True
        deadline = time.monotonic() + (
            self.settings.drain_timeout or DRAIN_LIMIT_SECONDS
        )
        self._last_packet_at = time.monotonic()
        while time.monotonic() < deadline:
            idle_seconds = time.monotonic() - self._last_packet_at
            if idle_seconds >= IDLE_SECONDS:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""
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
            ForwarderCallbacks(
                self._send_to_sidecar,
                self._sockets.send,
                self._feed.pull_newer_version,
            ),
        )

    def _send_to_sidecar(self, datagram: bytes, sidecar: Address) -> None:
        if self._datagrams is not None:
            self._datagrams.send(datagram, sidecar)

    def _on_client_packet(
        self,
        service: Address,
        packet: bytes,
        client: Address,
    ) -> None:
        self._last_packet_at = time.monotonic()
        self._forwarder.forward_client_packet(service, packet, client)

    def _on_configuration_change(self, change: ConfigurationChange) -> None:
        index = self._feed.store.index
        if index is None:
            return
        for entry in index.services:
            self._sockets.open(entry.addresses)
            service = self._feed.store.service(entry.name)
            if service is not None:
                self._views.set_endpoints(service)
        self._evacuations.update(
            service
            for service in self._feed.store.services
            if not self._feed.store.is_retired(service.name)
        )
        self._metrics.gauge(
            'evacuated-data-centers',
            len(self._evacuations.data_centers),
        )
        logger.info(
            'configuration-in-force',
            extra={'key': change.key, 'version': change.version},
        )

    def _has_all_services(self) -> bool:
        """Return whether the document of every service in the index is read."""
        store = self._feed.store
        services = store.index.services if store.index else ()
        return all(store.service(entry.name) for entry in services)

    def _on_pause(self, length: float) -> None:
        logger.warning('pause-noticed', extra={'seconds': round(length, 3)})
        self._views.reset()
