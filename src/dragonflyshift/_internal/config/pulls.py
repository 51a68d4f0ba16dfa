"""Pull the services' documents whose version rose in the index."""

import asyncio
import logging
import random

from attrs import define

from dragonflyshift._internal.config.backoff import Backoff
from dragonflyshift._internal.config.client import (
    PlatformClient,
    PlatformRequestError,
)
from dragonflyshift._internal.config.store import (
    ConfigurationChange,
    ConfigurationStore,
)
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PlatformError,
)
from dragonflyshift._internal.models.documents import INDEX_KEY

logger = logging.getLogger(__name__)

CONCURRENT_PULLS = 8
SPREAD_SECONDS = 1


@define
class _Round:
    """One attempt at all documents that are behind."""

    keys: list[str]
    failure: PlatformError | None = None


class ServicePuller:
    """Bring the services' documents up to the versions of the index."""

    def __init__(
        self,
        store: ConfigurationStore,
        client: PlatformClient,
        rng: random.Random,
    ) -> None:
        """Prepare; nothing is read before ``run``."""
        self._store = store
        self._client = client
        self._rng = rng
        self._index_changed = asyncio.Event()

    async def run(self) -> None:
        """Pull after each change of the index until cancelled."""
        with self._store.changes.subscribe(self._on_change):
            while True:
                self._index_changed.clear()
                await self._catch_up()
                await self._index_changed.wait()
                # All balancers see a change at once: spread their reads.
                await asyncio.sleep(self._rng.uniform(0, SPREAD_SECONDS))

    def _on_change(self, change: ConfigurationChange) -> None:
        if change.key == INDEX_KEY:
            self._index_changed.set()

    async def _catch_up(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            keys = self._store.stale_keys()
            if not keys:
                return
            self._rng.shuffle(keys)
            attempt = _Round(keys)
            workers = (self._work(attempt) for _ in range(CONCURRENT_PULLS))
            await asyncio.gather(*workers)
            if self._store.stale_keys():
                await asyncio.sleep(backoff.next_delay(attempt.failure))

    async def _work(self, attempt: _Round) -> None:
        while attempt.keys and attempt.failure is None:
            key = attempt.keys.pop()
            if not self._store.is_stale(key):
                continue
            try:
                await self._pull(key)
            except PlatformRequestError as exc:
                _log_failure(key, exc)
                if not exc.is_missing:
                    attempt.failure = exc
            except ConfigurationError as exc:
                _log_failure(key, exc)

    async def _pull(self, key: str) -> None:
        fetched = await self._client.fetch(key)
        self._store.offer(key, fetched.raw)


def _log_failure(key: str, exc: PlatformError | ConfigurationError) -> None:
    logger.warning(
        'configuration-pull-failed',
        extra={'key': key, 'reason': str(exc)},
    )
