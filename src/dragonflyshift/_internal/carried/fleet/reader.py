"""The task that reads the store while this daemon is elected to."""

__all__ = ('StoreReader',)

import asyncio
import logging
import random
import time
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.source import (
    HistoryLostError,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.exceptions import PlatformError

logger = logging.getLogger(__name__)

IDLE_CHECK_S = 0.2
# First and longest wait after a failure; the store limits calls.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# The store's users are back this long after its return, or gone.
DOUBT_S = 2.2
# Without contact for this long, removals may stem from an outage.
CONTACT_GAP_S = 5.0
# Changes that come close together are read together.
PAUSE_BETWEEN_READS_S = 0.05


@define(eq=False, repr=False)
class StoreReader:
    """Read everything once, then wait for changes.

    ``should_read`` is asked before each call; ``on_update(changed)`` is
    called after each answer, ``on_change()`` of readiness after each gain or
    loss of the store.
    """

    view: FleetView
    source: ViewSource
    rng: random.Random
    should_read: Callable[[], bool]
    on_update: Callable[[bool], None]
    is_reading: bool = field(default=False)
    confirmed_at: float = field(default=float('-inf'))
    calls: int = field(default=0)
    _failures: int = field(default=0)
    _needs_all: bool = field(default=False)
    _doubt_until: float = field(default=0)

    async def run(self) -> None:
        """Read for as long as the task lives."""
        while True:
            if self.should_read():
                await self._read_once()
            else:
                self._stop_reading()
                await asyncio.sleep(IDLE_CHECK_S)

    def settle_doubts(self, now: float) -> tuple[str, ...]:
        """Drop the endpoints that did not return after an outage."""
        if not self.view.doubted or now < self._doubt_until:
            return ()
        names = self.view.confirm_removals()
        logger.info('removals-confirmed', extra={'endpoints': names})
        return names

    def note_pause(self, now: float) -> None:
        """Trust no removal right after a pause of this process."""
        self._doubt_until = max(self._doubt_until, now + DOUBT_S)

    async def _read_once(self) -> None:
        self.calls += 1
        try:
            update = await self._next_update()
        except HistoryLostError as exc:
            logger.warning('store-history-lost', extra={'reason': exc.message})
            self._needs_all = True
        except PlatformError as exc:
            await self._back_off(exc)
        else:
            self._take(update)
            await asyncio.sleep(PAUSE_BETWEEN_READS_S)

    async def _next_update(self) -> ViewUpdate:
        if self._needs_all or not self.view.revision:
            update = await self.source.read_all()
            self._needs_all = False
            return update
        return await self.source.wait(self.view.revision)

    def _take(self, update: ViewUpdate) -> None:
        now = time.monotonic()
        if self._failures or now - self.confirmed_at > CONTACT_GAP_S:
            # Entries that lapsed during an outage return shortly after it.
            self._doubt_until = now + DOUBT_S
        if not self.is_reading:
            logger.info(
                'store-read',
                extra={'revision': update.revision, 'after': self._failures},
            )
        self._failures = 0
        self.is_reading = True
        self.confirmed_at = now
        is_doubtful = now < self._doubt_until
        changed = self.view.apply(update, doubt=is_doubtful)
        self.on_update(changed)

    async def _back_off(self, exc: PlatformError) -> None:
        if not self._failures:
            logger.warning('store-lost', extra={'reason': str(exc)})
        self._failures += 1
        self.is_reading = False
        ceiling = min(
            MAX_BACKOFF_S,
            FIRST_BACKOFF_S * 2 ** min(self._failures, 10),
        )
        await asyncio.sleep(ceiling * self.rng.uniform(0.5, 1))

    def _stop_reading(self) -> None:
        if self.is_reading:
            self.is_reading = False
            self.source.close()
            logger.info('store-left-to-peers')
