"""Pull the services' documents whose version rose in the index.

A few are read one by one. Many, at the start or after a long outage, are read
in bundles; what these do not bring is read singly.
"""

import asyncio
import logging
import random
from collections.abc import Iterable

from attrs import define

from dragonflyshift._internal.config.backoff import Backoff
from dragonflyshift._internal.config.bundles import (
    are_bundles_cheaper,
    bundle_number,
    split_bundle,
)
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
from dragonflyshift._internal.models.documents import (
    INDEX_KEY,
    bundle_key,
    service_key,
)

logger = logging.getLogger(__name__)

CONCURRENT_PULLS = 8
# 850 balancers that watch on at once and each begin 1.1 reads in a second
# stay below the rate that the platform's service takes. Before bundles all of
# them may just have started, and read the index besides.
SPREAD_SECONDS = 1
READS_IN_SPREAD = 1.1
MAX_SPREADS = 4.5
BUNDLE_DELAY_SECONDS = 1


@define
class PullRound:
    """One attempt at all documents that are behind."""

    keys: list[str]
    are_bundles: bool = False
    failure: PlatformError | None = None

    def choose_delay(self, rng: random.Random) -> float:
        """Return the seconds until this daemon begins its reads."""
        spreads = len(self.keys) / READS_IN_SPREAD
        spread = SPREAD_SECONDS * min(max(1, spreads), MAX_SPREADS)
        earliest = BUNDLE_DELAY_SECONDS if self.are_bundles else 0
        return earliest + rng.uniform(0, spread)


class ServicePuller:
    """Bring the services' documents up to the versions of the index.

    ``is_spread`` tells that daemons did not read the index at the same time,
    so that their next reads need no spreading.
    """

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
        self.is_spread = False
        self._index_changed = asyncio.Event()

    async def run(self) -> None:
        """Pull after each change of the index until cancelled."""
        with self._store.changes.subscribe(self._on_change):
            while True:
                self._index_changed.clear()
                await self._catch_up()
                await self._index_changed.wait()

    def _on_change(self, change: ConfigurationChange) -> None:
        if change.key == INDEX_KEY:
            self._index_changed.set()

    async def _catch_up(self) -> None:
        attempt = self._plan_first()
        if not attempt.keys:
            return
        if not self.is_spread:
            # All balancers see a change at once: spread their reads.
            await asyncio.sleep(attempt.choose_delay(self._rng))
            attempt = self._plan_first()
        backoff = Backoff(self._rng)
        while self._store.stale_keys():
            await self._run(attempt)
            if not self._store.stale_keys():
                return
            if attempt.failure is not None or not attempt.are_bundles:
                await asyncio.sleep(backoff.next_delay(attempt.failure))
            attempt = self._plan_next(attempt)

    def _plan_first(self) -> PullRound:
        return self._plan_bundles() or self._plan_services()

    def _plan_next(self, ended: PullRound) -> PullRound:
        # Bundles that were read well and left something are behind: what is
        # missing is read singly, lest this daemon waits for their writer.
        if ended.are_bundles and ended.failure is not None:
            return self._plan_first()
        return self._plan_services()

    def _plan_bundles(self) -> PullRound | None:
        """Return a round of bundles, or None when single reads are fewer."""
        index = self._store.index
        if index is None or not index.bundles:
            return None
        stale = [
            entry.tag
            for entry in index.services
            if self._store.is_stale(service_key(entry.name))
        ]
        numbers = {bundle_number(tag, index.bundles) for tag in stale}
        if not are_bundles_cheaper(len(stale), len(numbers)):
            return None
        return self._shuffled(map(bundle_key, sorted(numbers)), bundles=True)

    def _plan_services(self) -> PullRound:
        return self._shuffled(self._store.stale_keys())

    def _shuffled(
        self,
        keys: Iterable[str],
        *,
        bundles: bool = False,
    ) -> PullRound:
        ordered = list(keys)
        self._rng.shuffle(ordered)
        return PullRound(ordered, are_bundles=bundles)

    async def _run(self, attempt: PullRound) -> None:
        workers = (self._work(attempt) for _ in range(CONCURRENT_PULLS))
        await asyncio.gather(*workers)

    async def _work(self, attempt: PullRound) -> None:
        while attempt.keys and attempt.failure is None:
            key = attempt.keys.pop()
            try:
                if attempt.are_bundles:
                    await self._pull_bundle(key)
                elif self._store.is_stale(key):
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

    async def _pull_bundle(self, key: str) -> None:
        fetched = await self._client.fetch(key)
        for raw in split_bundle(fetched.raw):
            try:
                self._store.offer_service(raw)
            except ConfigurationError as exc:
                _log_failure(key, exc)
            # Hundreds of documents at one go would hold up the packets.
            await asyncio.sleep(0)


def _log_failure(key: str, exc: PlatformError | ConfigurationError) -> None:
    logger.warning(
        'configuration-pull-failed',
        extra={'key': key, 'reason': str(exc)},
    )
