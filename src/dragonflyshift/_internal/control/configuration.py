"""How a daemon gets its configuration: the platform first, peers besides.

The platform's service is watched. A peer that names a higher version is
asked for the document, and a daemon that starts while the service is down
asks its seeds.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from reactivex import operators

from dragonflyshift._internal.config import (
    ConfigurationStore,
    ConfigurationWatcher,
    PlatformClient,
    WatchScope,
    pull_from_peer,
)
from dragonflyshift._internal.exceptions import DragonflyshiftError, PeerError
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.kernel.tasks import TaskGroup
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.models.documents import service_key
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import (
    DocumentReply,
    DocumentRequest,
)
from dragonflyshift._internal.wire.stream import connect_stream

logger = logging.getLogger(__name__)

PEER_TIMEOUT_SECONDS = 2.0
SEED_PERIOD_SECONDS = 0.5


async def fetch_document(peer: Address, keys: FleetKeys, key: str) -> bytes:
    """Ask a peer for a document; raise PeerError if it has none."""
    async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
        stream = await connect_stream(peer, keys, PEER_TIMEOUT_SECONDS)
        try:
            await stream.send(DocumentRequest(key, 0))
            reply = await stream.receive()
        finally:
            await stream.close()
    if not isinstance(reply, DocumentReply) or not reply.raw:
        raise PeerError(f'no document {key}', context=str(peer))
    return reply.raw


class ConfigurationFeed:
    """Keep a store up to date from the platform and from peers."""

    def __init__(
        self,
        settings: Settings,
        scope: WatchScope,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        """Prepare the watcher; nothing is read before ``start``."""
        self.store = ConfigurationStore()
        self._settings = settings
        self._scope = scope
        self._tasks = tasks
        self._client = PlatformClient(settings.platform)
        self._watcher = ConfigurationWatcher(
            self.store,
            self._client,
            scope,
            settings.watch_wait,
            rng,
        )

    async def start(self, key: str) -> None:
        """Watch, and return once the document ``key`` is there."""
        self._tasks.start(self._watcher.run(), 'configuration-watch')
        if self._settings.seeds:
            self._tasks.start(self._read_seeds(key), 'configuration-seeds')
        await self.wait_until(lambda: self.store.raw(key) is not None)

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition on the store holds."""
        if holds():
            return
        changes = self.store.changes.pipe(
            operators.filter(lambda _change: holds()),
        )
        await changes.pipe(operators.first())

    async def close(self) -> None:
        """Close the connection to the platform."""
        await self._client.close()

    def version_heard(self, key: str, version: int, peer: Address) -> None:
        """Pull a document from a peer that holds a higher version."""
        self._tasks.start(
            self._pull(key, version, peer),
            'configuration-pull',
        )

    async def _pull(self, key: str, version: int, peer: Address) -> None:
        async def fetch(wanted: str) -> bytes:  # noqa: WPS430 -- binds peer
            return await fetch_document(
                peer,
                self._settings.fleet_keys,
                wanted,
            )

        try:
            await pull_from_peer(self.store, key, version, fetch)
        except (DragonflyshiftError, TimeoutError, OSError) as exc:
            logger.info(
                'configuration-pull-failed',
                extra={'key': key, 'peer': str(peer), 'reason': str(exc)},
            )

    async def _read_seeds(self, key: str) -> None:
        """Ask seeds in turn until the first documents are there."""
        await asyncio.sleep(SEED_PERIOD_SECONDS)
        while self.store.raw(key) is None:
            for seed in self._settings.seeds:
                await self._pull(key, 1, seed)
                await self._pull_services(seed)
            await asyncio.sleep(SEED_PERIOD_SECONDS)

    async def _pull_services(self, seed: Address) -> None:
        index = self.store.index
        if index is None:
            return
        for entry in index.services:
            await self._pull(service_key(entry.name), entry.version, seed)
