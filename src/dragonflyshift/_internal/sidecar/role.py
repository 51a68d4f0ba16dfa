"""The sidecar role of the daemon."""

import random

from dragonflyshift._internal.config import WatchScope
from dragonflyshift._internal.control import ConfigurationFeed
from dragonflyshift._internal.kernel.role import DaemonRole
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models.documents import service_key
from dragonflyshift._internal.sidecar.components import Telemetry
from dragonflyshift._internal.sidecar.node import SidecarNode
from dragonflyshift._internal.sidecar.tls import quic_configuration
from dragonflyshift._internal.telemetry import create_metrics, create_tracing


class SidecarRole(DaemonRole, name='sidecar'):
    """Terminates flows and runs their requests on one backend server."""

    def __init__(self, settings: Settings) -> None:
        """Create the components that need no service document."""
        super().__init__(settings)
        self._tasks = BackgroundTasks()
        self._feed = ConfigurationFeed(
            settings,
            WatchScope(settings.service),
            self._tasks,
            random.Random(),
        )
        self._telemetry = Telemetry(
            create_metrics(settings),
            create_tracing(settings),
        )
        self._quic_config = quic_configuration(settings)
        self._node: SidecarNode | None = None

    async def start(self) -> None:
        """Fetch the service's document, then start the node."""
        key = service_key(self.settings.service)
        await self._feed.start(key)
        self._node = SidecarNode(
            self.settings,
            self._feed,
            self._telemetry,
            self._tasks,
            self._quic_config,
        )
        await self._node.start()

    async def drain(self) -> None:
        """Leave: move new requests to peers, finish running ones, hand over."""
        if self._node is not None:
            await self._node.drain()

    async def close(self) -> None:
        """Close all sockets and end all tasks."""
        await self._tasks.close()
        if self._node is not None:
            await self._node.close()
        await self._feed.close()
        self._telemetry.tracing.shutdown()
        self._telemetry.metrics.close()
