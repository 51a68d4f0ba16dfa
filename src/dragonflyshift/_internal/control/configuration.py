"""Configuration of a daemon from the platform, with peers as a fallback.

A daemon watches the platform's configuration service. It pulls a document
from a peer that reports a higher version, and from its seeds if the platform
is down when the daemon starts.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from reactivex import operators

from dragonflyshift._internal.config import (
    ConfigurationStore,
    ConfigurationWatcher,
    PlatformClient,
    WatchScope,
    pull_all_from_peer,
    pull_from_peer,
)
from dragonflyshift._internal.control.documents import (
    PeerDocumentReader,
    open_peer_documents,
)
from dragonflyshift._internal.exceptions import DragonflyshiftError
from dragonflyshift._internal.kernel.settings import Settings
from dragonflyshift._internal.kernel.tasks import BackgroundTasks
from dragonflyshift._internal.models import Address

logger = logging.getLogger(__name__)

SEED_PERIOD_SECONDS = 0.5


class ConfigurationFeed:
    """Keeps a store up to date from the platform and from peers."""

    def __init__(
        self,
        settings: Settings,
        scope: WatchScope,
        tasks: BackgroundTasks,
        rng: random.Random,
    ) -> None:
        """Create the store and the watcher; ``start`` begins reading."""
        self.store = ConfigurationStore()
        self._settings = settings
        self._scope = scope
        self._tasks = tasks
        self._rng = rng
        self._client = PlatformClient(settings.platform)
        self._watcher = ConfigurationWatcher(
            self.store,
            self._client,
            scope,
            settings.watch_wait,
            rng,
        )

    async def start(self, key: str) -> None:
        """Start watching; return once the document ``key`` is in force."""
        self._tasks.start(self._watcher.run(), 'configuration-watch')
        if self._settings.seeds:
            self._tasks.start(self._read_seeds(key), 'configuration-seeds')
        await self.wait_until(lambda: self.store.raw(key) is not None)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Return once a condition on the store is true."""
        if condition():
            return
        changes = self.store.changes.pipe(
            operators.filter(lambda _change: condition()),
        )
        await changes.pipe(operators.first())

    async def close(self) -> None:
        """Close the connection to the platform."""
        await self._client.close()

    def pull_newer_version(self, key: str, version: int, peer: Address) -> None:
        """Start a pull from a peer if its version is higher than our own."""
        if version <= self.store.version(key):
            return
        self._tasks.start(
            self._pull(key, version, peer),
            'configuration-pull',
        )

    async def _pull(self, key: str, version: int, peer: Address) -> None:
        async def fetch(requested_key: str) -> bytes:  # noqa: WPS430 -- binds peer
            async with self._open(peer) as documents:
                return await documents.fetch(requested_key)

        await pull_from_peer(self.store, key, version, fetch)

    async def _read_seeds(self, key: str) -> None:
        """Read from the seeds in turn until the documents are up to date.

        Nothing is read from the seeds if the platform provides the first
        document within SEED_PERIOD_SECONDS.
        """
        await asyncio.sleep(SEED_PERIOD_SECONDS)
        if self.store.raw(key) is not None:
            return
        seeds = list(self._settings.seeds)
        while self._is_behind(key):
            # All daemons of a data centre may start at once. The random order
            # distributes them over the seeds.
            self._rng.shuffle(seeds)
            for seed in seeds:
                await self._read_seed(key, seed)
            await asyncio.sleep(SEED_PERIOD_SECONDS)

    async def _read_seed(self, key: str, seed: Address) -> None:
        if not self._is_behind(key):
            return
        if self._scope.service:
            # Version 1 requests any version if no document is in force yet.
            await self._pull(key, 1, seed)
            return
        try:
            async with self._open(seed) as documents:
                await pull_all_from_peer(self.store, documents.fetch)
        except (DragonflyshiftError, OSError) as exc:
            logger.warning(
                'configuration-seed-failed',
                extra={'seed': str(seed), 'reason': str(exc)},
            )

    def _is_behind(self, key: str) -> bool:
        return self.store.raw(key) is None or bool(self.store.stale_keys())

    def _open(
        self, peer: Address
    ) -> AbstractAsyncContextManager[PeerDocumentReader]:
        return open_peer_documents(peer, self._settings.fleet_keys)
