"""Watch the platform's configuration service and update the store.

A balancer watches the index and pulls the service documents whose version has
increased. A sidecar watches only the document of its own service. While the
platform fails or returns stale values, the configuration in force stays.
"""

import asyncio
import logging
import random
import time

from attrs import frozen

from dragonflyshift._internal.config.backoff import Backoff
from dragonflyshift._internal.config.client import FetchedValue, PlatformClient
from dragonflyshift._internal.config.pulls import ServicePuller
from dragonflyshift._internal.config.store import ConfigurationStore
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PlatformError,
)
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key

logger = logging.getLogger(__name__)

# A watch waits for a random fraction of the configured time, at least this.
MIN_WAIT_FRACTION = 0.8
# The watcher backs off after a response that arrives within this fraction of
# the wait and brings no new version into force.
QUICK_RESPONSE_FRACTION = 0.5


@frozen
class WatchScope:
    """The documents a daemon reads: those of one service, or of all.

    Example:
        >>> WatchScope('exports').key
        'dragonflyshift/service/exports'
        >>> WatchScope().key
        'dragonflyshift/index'
    """

    service: str = ''

    @property
    def key(self) -> str:
        """The key to watch."""
        return service_key(self.service) if self.service else INDEX_KEY


class ConfigurationWatcher:
    """Keeps the store up to date from the platform."""

    def __init__(
        self,
        store: ConfigurationStore,
        client: PlatformClient,
        scope: WatchScope,
        wait: float,
        rng: random.Random,
    ) -> None:
        """Configure watches of up to ``wait`` seconds each."""
        self._store = store
        self._client = client
        self._scope = scope
        self._wait = wait
        self._rng = rng
        self._backoff = Backoff(rng)
        self._puller = ServicePuller(store, client, rng)
        self._etag = ''

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch())
            if not self._scope.service:
                group.create_task(self._puller.run())

    async def _watch(self) -> None:
        while True:
            started = time.monotonic()
            wait = self._wait * self._rng.uniform(MIN_WAIT_FRACTION, 1)
            try:
                fetched = await self._fetch_or_watch(wait)
                is_accepted = self._apply(fetched)
            except (PlatformError, ConfigurationError) as exc:
                await self._wait_after_failure(exc)
                continue
            waited = time.monotonic() - started
            if is_accepted or waited > wait * QUICK_RESPONSE_FRACTION:
                self._backoff.reset()
                continue
            # Replicas of the platform that hold different stale values respond
            # immediately to a watch with the entity tag of another replica.
            # Back off to avoid a busy loop.
            await asyncio.sleep(self._backoff.next_delay())

    async def _fetch_or_watch(self, wait: float) -> FetchedValue | None:
        if self._etag:
            return await self._client.watch(self._scope.key, self._etag, wait)
        return await self._client.fetch(self._scope.key)

    def _apply(self, fetched: FetchedValue | None) -> bool:
        if fetched is None:
            return False
        self._etag = fetched.etag
        # After a failure, the random delays have already spread the daemons.
        self._puller.is_already_spread = self._backoff.has_failed
        return self._store.apply(self._scope.key, fetched.raw)

    async def _wait_after_failure(
        self, exc: PlatformError | ConfigurationError
    ) -> None:
        failed = exc if isinstance(exc, PlatformError) else None
        delay = self._backoff.next_delay(failed)
        logger.warning(
            'configuration-watch-failed',
            extra={
                'key': self._scope.key,
                'reason': str(exc),
                'retry_in': round(delay, 1),
            },
        )
        await asyncio.sleep(delay)
