"""The task that reads the store while this daemon is an elected reader."""

__all__ = ('HistoryLostError', 'StoreReader', 'ViewSource')

import asyncio
import logging
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.revisions import (
    StoreListing,
    epoch_of,
)
from dragonflyshift._internal.carried.fleet.view import (
    FleetView,
    ViewUpdate,
    has_records_before_epoch,
)
from dragonflyshift._internal.carried.policies.evacuation import (
    EvacuationRecord,
)
from dragonflyshift._internal.exceptions import PlatformError

logger = logging.getLogger(__name__)

IDLE_CHECK_S = 0.2
# First and longest wait after a failure; the store limits the rate of calls.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# The longest wait of a daemon that has a view, which peers keep up to date.
MAX_BACKOFF_WITH_VIEW_S = 3.0
# Endpoints renew their entries within this time after an outage of the store.
# An entry that is still missing then stands for an endpoint that has ended.
REMOVAL_GRACE_S = 2.2
# After a longer time without contact, removals may result from an outage.
CONTACT_GAP_S = 5.0
# Changes that follow each other within this time are read together.
READ_INTERVAL_S = 0.05
# A watch waits at least this long, however slow the store is.
MIN_WATCH_S = 0.1
# Before it lists the evacuations, a daemon waits for a random part of this time
# for a peer that has read them. The listings of a daemon are a second apart.
CLAIM_DELAY_S = 0.3
CLAIM_INTERVAL_S = 1.0


class HistoryLostError(PlatformError):
    """The store no longer holds the changes since a revision."""


class ViewSource(ABC):
    """A store that can be read and watched.

    Both calls raise PlatformError when the store sends no valid response.
    """

    @abstractmethod
    async def read_all(self) -> ViewUpdate:
        """Return the complete state, an update whose base is zero."""

    async def read_evacuations(self) -> ViewUpdate:
        """Return an update whose evacuations are complete.

        A source that can't list them alone returns the complete state.
        """
        return await self.read_all()

    @abstractmethod
    async def wait(self, after: int, wait_s: float) -> ViewUpdate:
        """Return the changes after a revision, once there are any.

        After ``wait_s`` seconds without a change the update is empty. Raises
        HistoryLostError when the store's history starts after the revision.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""


def _do_nothing() -> None:
    """Ignore a change of the evacuations."""


@define(eq=False, repr=False)
class StoreReader:
    """Reads the complete state, then waits for changes.

    A daemon that begins to read has its view from peers. It first reads the
    changes since, which takes one call, and then the complete state, as a peer
    may have left out a part. From then on it goes by what it has read itself.

    The store confirms the view every ``watch_s`` seconds, or as often as its
    responses allow. With ``settles_claims`` the evacuations are also listed if
    a peer reported one that may stem from a foreign entry, and
    ``on_evacuations()`` is called if the listing changed anything.

    ``should_read()`` is called before each call of the store and decides
    whether it is made; ``on_update(changed)`` is called after each response.
    ``confirmed_at`` is when the store last responded, ``calls`` the number of
    calls.
    """

    view: FleetView
    source: ViewSource
    rng: random.Random
    should_read: Callable[[], bool]
    on_update: Callable[[bool], None]
    settles_claims: bool = field(default=False)
    on_evacuations: Callable[[], None] = field(default=_do_nothing)
    watch_s: float = field(default=1.0)
    is_reading: bool = field(default=False)
    confirmed_at: float = field(default=float('-inf'))
    calls: int = field(default=0)
    _failures: int = field(default=0)
    _needs_full_read: bool = field(default=False)
    _grace_until: float = field(default=0)
    _claims_settled_at: float = field(default=float('-inf'))
    _listing: StoreListing = field(factory=StoreListing)
    # How much longer than its wait the last watch without a change took.
    _latency_s: float = field(default=0)
    _was_paused: bool = field(default=False)

    async def run(self) -> None:
        """Read until the task is cancelled, or fails unexpectedly.

        The daemon then counts as no reader, so that another one takes over.
        The next run begins with a full read, as an update may have been
        applied in part.
        """
        try:
            await self._read_while_elected()
        except Exception:
            self.is_reading = False
            self._needs_full_read = True
            self.source.close()
            raise

    @property
    def has_read(self) -> bool:
        """Whether the store has ever responded to this daemon."""
        return self.confirmed_at > float('-inf')

    def confirm_removals(self, now: float) -> tuple[str, ...]:
        """Drop the endpoints that did not return after an outage.

        Those that only a peer has sent, and that the store doesn't list, are
        dropped too. Returns their names; empty until the grace period has
        passed.
        """
        if now < self._grace_until:
            return ()
        for name in self._find_ended(self._listing.find_ended_endpoints):
            self.view.remove(name, self._listing.until, is_tentative=True)
        if not self.view.tentative_removals:
            return ()
        names = self.view.confirm_removals()
        logger.info('removals-confirmed', extra={'endpoints': names})
        return names

    def confirm_evacuations(self, now: float) -> tuple[EvacuationRecord, ...]:
        """End the evacuations whose entries did not return after an outage.

        Returns the ends; empty until the grace period has passed.
        """
        if now < self._grace_until:
            return ()
        evacuations = self.view.evacuations
        for name in self._find_ended(self._listing.find_ended_evacuations):
            evacuations.end_tentatively(name, self._listing.until)
        return evacuations.confirm()

    def on_pause(self, now: float) -> None:
        """Treat removals as tentative right after a pause of this process.

        A response to a call from before the pause may be as old as that.
        """
        self._grace_until = max(self._grace_until, now + REMOVAL_GRACE_S)
        self._was_paused = True

    def _find_ended(self, find: Callable[[FleetView], list[str]]) -> list[str]:
        """Return what has ended in the store while this daemon reads it."""
        return find(self.view) if self.is_reading else []

    async def _read_while_elected(self) -> None:
        while True:
            if self._has_due_claims():
                await self._settle_claims()
            if self.should_read():
                await self._read_once()
            else:
                self._stop_reading()
                await asyncio.sleep(IDLE_CHECK_S)

    def _has_due_claims(self) -> bool:
        claims = self.view.evacuations.claims
        if not claims or not self.settles_claims:
            return False
        if self.is_reading:
            # This daemon has read the operator's keys itself in between.
            self.view.evacuations.drop_claims(
                self._listing.since, self._listing.until
            )
        is_due = time.monotonic() - self._claims_settled_at > CLAIM_INTERVAL_S
        return bool(claims) and is_due

    async def _settle_claims(self) -> None:
        """List the evacuations, and drop the claims that the store lacks."""
        await asyncio.sleep(self.rng.random() * CLAIM_DELAY_S)
        claims = self.view.evacuations.claims
        if not claims:
            return
        self._claims_settled_at = time.monotonic()
        self.calls += 1
        try:
            update = await self.source.read_evacuations()
            _check_not_outdated(update, self.view)
        except PlatformError as exc:
            await self._back_off(exc)
            return
        now = time.monotonic()
        if self._may_lack_entries(now, update):
            self._grace_until = now + REMOVAL_GRACE_S
        changed = self.view.apply_evacuations(
            update, is_tentative=now < self._grace_until
        )
        for name in claims:
            logger.info('evacuation-claim-settled', extra={'evacuated': name})
        claims.clear()
        if changed:
            self.on_evacuations()

    async def _read_once(self) -> None:
        self.calls += 1
        self._was_paused = False
        try:
            update = await self._next_update()
            self._check_not_paused()
        except HistoryLostError as exc:
            logger.warning('store-history-lost', extra={'reason': exc.message})
            self._needs_full_read = True
        except PlatformError as exc:
            await self._back_off(exc)
        else:
            self.record_update(update)
            await asyncio.sleep(READ_INTERVAL_S)

    async def _next_update(self) -> ViewUpdate:
        needs_full_read = (
            self._needs_full_read
            or not self.view.revision
            # Peers have supplied what lies before.
            or (self.is_reading and not self._listing.is_complete)
            # A peer has reported that the store was restored.
            or has_records_before_epoch(self.view, epoch_of(self.view.revision))
        )
        if needs_full_read:
            update = await self.source.read_all()
            _check_not_outdated(update, self.view)
            self._needs_full_read = False
            return update
        return await self._watch()

    async def _watch(self) -> ViewUpdate:
        """Wait for changes; a daemon that begins to read gets them at once."""
        started_at = time.monotonic()
        wait_s: float = 0
        if self.is_reading:
            wait_s = max(MIN_WATCH_S, self.watch_s - self._latency_s)
        elif started_at - self.confirmed_at > CONTACT_GAP_S:
            self._listing.begin(self.view.revision)
        update = await self.source.wait(self._listing.until, wait_s)
        took_s = time.monotonic() - started_at
        # A response with a change comes earlier, and says nothing of it.
        if took_s >= wait_s:
            self._latency_s = took_s - wait_s
        return update

    def _check_not_paused(self) -> None:
        """Raise PlatformError if a response may be older than it seems."""
        if self._was_paused:
            self.source.close()
            raise PlatformError('the process was paused during the call')

    def record_update(self, update: ViewUpdate) -> None:
        """Apply an update of the store, which confirms the view."""
        now = time.monotonic()
        if self._may_lack_entries(now, update):
            self._grace_until = now + REMOVAL_GRACE_S
        self._listing.apply(update)
        if self._listing.is_complete:
            self.view.reported_version.clear()
        if not self.is_reading:
            logger.info(
                'store-read',
                extra={
                    'revision': update.revision,
                    'epoch': epoch_of(update.revision),
                    'after': self._failures,
                },
            )
        self._failures = 0
        self.is_reading = True
        self.confirmed_at = now
        is_in_grace = now < self._grace_until
        changed = self.view.apply(update, is_tentative=is_in_grace)
        self.on_update(changed)

    def _may_lack_entries(self, now: float, update: ViewUpdate) -> bool:
        """Return whether entries may be missing that will be renewed.

        They expire during an outage of the store, and are missing in the copy
        from which it is restored.
        """
        if self._failures or now - self.confirmed_at > CONTACT_GAP_S:
            return True
        is_complete = not update.base
        return is_complete and has_records_before_epoch(
            self.view, epoch_of(update.revision)
        )

    async def _back_off(self, exc: PlatformError) -> None:
        if not self._failures:
            logger.warning('store-lost', extra={'reason': str(exc)})
        self._failures += 1
        self.is_reading = False
        longest_s = MAX_BACKOFF_S
        if self.view.revision:
            longest_s = MAX_BACKOFF_WITH_VIEW_S
        ceiling = min(
            longest_s,
            FIRST_BACKOFF_S * 2 ** min(self._failures, 10),
        )
        await asyncio.sleep(ceiling * self.rng.uniform(0.5, 1))

    def _stop_reading(self) -> None:
        if self.is_reading:
            self.is_reading = False
            self.source.close()
            logger.info('store-left-to-peers')


def _check_not_outdated(update: ViewUpdate, view: FleetView) -> None:
    """Raise PlatformError if peers have reported a later restore."""
    epoch = epoch_of(update.revision)
    if epoch < epoch_of(view.revision):
        raise PlatformError(
            f'the store lists its state of epoch {epoch}, '
            f'peers that of {epoch_of(view.revision)}',
        )
