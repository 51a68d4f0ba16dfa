"""Pull the service documents whose version in the index has increased.

A few documents are read one by one. Many, as on startup or after a long
outage, are read in bundles, and those that the bundles lack are then read
individually.
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
# 850 balancers watch the index again at once after a change. With up to 1.1
# document reads per second each, their total stays below the rate that the
# platform's service accepts (2,000 reads per second). Bundles are read a
# second later, because all balancers may have just started and read the index
# in the first second.
SPREAD_SECONDS = 1
READS_PER_SPREAD = 1.1
MAX_SPREAD_FACTOR = 4.5
BUNDLE_DELAY_SECONDS = 1


@define
class PullRound:
    """One attempt to read all outdated documents."""

    keys: list[str]
    are_bundles: bool = False
    failure: PlatformError | None = None

    def choose_delay(self, rng: random.Random) -> float:
        """Return the seconds to wait before the first read of the round."""
        spreads = len(self.keys) / READS_PER_SPREAD
        spread = SPREAD_SECONDS * min(max(1, spreads), MAX_SPREAD_FACTOR)
        earliest = BUNDLE_DELAY_SECONDS if self.are_bundles else 0
        return earliest + rng.uniform(0, spread)


class ServicePuller:
    """Pull service documents until they have the versions of the index.

    ``is_already_spread`` is set when the daemons did not read the index at
    the same time, so that their next reads start without a delay.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        client: PlatformClient,
        rng: random.Random,
    ) -> None:
        """Store the arguments; ``run`` starts reading."""
        self._store = store
        self._client = client
        self._rng = rng
        self.is_already_spread = False
        self._index_changed = asyncio.Event()

    async def run(self) -> None:
        """Pull documents after each index change until cancelled."""
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
        if not self.is_already_spread:
            # All balancers see a change at once, so spread their reads.
            await asyncio.sleep(attempt.choose_delay(self._rng))
            attempt = self._plan_first()
        backoff = Backoff(self._rng)
        while self._store.stale_keys():
            await self._run_round(attempt)
            if not self._store.stale_keys():
                return
            if attempt.failure is not None or not attempt.are_bundles:
                await asyncio.sleep(backoff.next_delay(attempt.failure))
            attempt = self._plan_next(attempt)

    def _plan_first(self) -> PullRound:
        return self._plan_bundles() or self._plan_services()

    def _plan_next(self, finished: PullRound) -> PullRound:
        # Bundles that were read without a failure but leave documents stale
        # are outdated. Read these documents individually instead of waiting
        # until the bundles are published again.
        if finished.are_bundles and finished.failure is not None:
            return self._plan_first()
        return self._plan_services()

    def _plan_bundles(self) -> PullRound | None:
        """Return a round of bundles, or None if they do not save reads."""
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
        return self._build_round(map(bundle_key, sorted(numbers)), bundles=True)

    def _plan_services(self) -> PullRound:
        return self._build_round(self._store.stale_keys())

    def _build_round(
        self,
        keys: Iterable[str],
        *,
        bundles: bool = False,
    ) -> PullRound:
        ordered = list(keys)
        self._rng.shuffle(ordered)
        return PullRound(ordered, are_bundles=bundles)

    async def _run_round(self, attempt: PullRound) -> None:
        workers = (self._pull_keys(attempt) for _ in range(CONCURRENT_PULLS))
        await asyncio.gather(*workers)

    async def _pull_keys(self, attempt: PullRound) -> None:
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
        self._store.apply(key, fetched.raw)

    async def _pull_bundle(self, key: str) -> None:
        fetched = await self._client.fetch(key)
        for raw in split_bundle(fetched.raw):
            try:
                self._store.apply_service(raw)
            except ConfigurationError as exc:
                _log_failure(key, exc)
            # Decoding hundreds of documents without a pause would delay
            # packets.
            await asyncio.sleep(0)


def _log_failure(key: str, exc: PlatformError | ConfigurationError) -> None:
    logger.warning(
        'configuration-pull-failed',
        extra={'key': key, 'reason': str(exc)},
    )
