"""Watch the platform's configuration service and feed the store.

A balancer watches the index and pulls the services' documents whose version
rose. A sidecar watches its own service's document alone. Neither the failure
nor the staleness of the service stops anything: what is in force stays.
"""

import asyncio
import logging
import random
import time

from attrs import frozen

from dragonflyshift._internal.config.backoff import Backoff
from dragonflyshift._internal.config.client import Fetched, PlatformClient
from dragonflyshift._internal.config.pulls import ServicePuller
from dragonflyshift._internal.config.store import ConfigurationStore
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PlatformError,
)
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key

logger = logging.getLogger(__name__)

MIN_WAIT_SHARE = 0.8
QUICK_ANSWER_SHARE = 0.5


@frozen
class WatchScope:
    """What a daemon reads: one service's document, or all services.

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
    """Keep the store up to date from the platform."""

    def __init__(
        self,
        store: ConfigurationStore,
        client: PlatformClient,
        scope: WatchScope,
        wait: float,
        rng: random.Random,
    ) -> None:
        """Let each watch wait up to ``wait`` seconds."""
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
            wait = self._wait * self._rng.uniform(MIN_WAIT_SHARE, 1)
            try:
                fetched = await self._next(wait)
                useful = self._offer(fetched)
            except (PlatformError, ConfigurationError) as exc:
                await self._pause(exc)
                continue
            waited = time.monotonic() - started
            if useful or waited > wait * QUICK_ANSWER_SHARE:
                self._backoff.reset()
                continue
            # Stale replicas that take turns answer at once, again and again.
            await asyncio.sleep(self._backoff.next_delay())

    async def _next(self, wait: float) -> Fetched | None:
        if self._etag:
            return await self._client.watch(self._scope.key, self._etag, wait)
        return await self._client.fetch(self._scope.key)

    def _offer(self, fetched: Fetched | None) -> bool:
        if fetched is None:
            return False
        self._etag = fetched.etag
        # The waits after a failure have spread the daemons already.
        self._puller.is_spread = self._backoff.has_failed
        return self._store.offer(self._scope.key, fetched.raw)

    async def _pause(self, exc: PlatformError | ConfigurationError) -> None:
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
