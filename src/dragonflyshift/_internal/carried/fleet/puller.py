"""Pulls of peers' views, one at a time."""

__all__ = ('ViewPuller',)

import asyncio
import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.exchange import pull_view
from dragonflyshift._internal.carried.fleet.reader import REMOVAL_GRACE_S
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.exceptions import PeerError

logger = logging.getLogger(__name__)

MIN_PULL_INTERVAL_S = 0.05
# Full pulls resolve differences between two views of the same revision.
MIN_FULL_PULL_INTERVAL_S = 1.0


@define(eq=False, repr=False)
class ViewPuller:
    """Updates the view from peers that are ahead.

    ``on_pulled(changed, address)`` is called after each successful pull.
    What a complete view of a peer lacks is removed tentatively: a peer that
    started right after an outage of the store may lack endpoints whose entries
    lapsed meanwhile.
    ``confirm_removals_at`` is when these removals may be confirmed, None if
    there are none.
    ``failures`` counts pulls that ended by an unforeseen exception.
    """

    view: FleetView
    on_pulled: Callable[[bool, SocketAddress], None]
    failures: int = field(default=0)
    confirm_removals_at: float | None = field(default=None)
    _started_at: float = field(default=float('-inf'))
    _task: asyncio.Task[None] | None = field(default=None)

    def pull(self, now: float, address: SocketAddress) -> None:
        """Pull the changes of a peer's view since this view's revision."""
        self._start(now, address, self.view.revision, MIN_PULL_INTERVAL_S)

    def pull_all(self, now: float, address: SocketAddress) -> None:
        """Pull a peer's complete view."""
        self._start(now, address, 0, MIN_FULL_PULL_INTERVAL_S)

    def _start(
        self,
        now: float,
        address: SocketAddress,
        base: int,
        min_interval_s: float,
    ) -> None:
        is_running = self._task is not None and not self._task.done()
        if is_running or now - self._started_at < min_interval_s:
            return
        self._started_at = now
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._pull_from(address, base))

    async def _pull_from(self, address: SocketAddress, base: int) -> None:
        try:
            update = await pull_view(address, base, self.view.routes.version)
        except PeerError as exc:
            logger.info('view-pull-failed', extra={'reason': str(exc)})
            return
        except Exception:
            self._on_failure()
            return
        try:
            self.on_pulled(self._apply(update), address)
        except Exception:
            self._on_failure()

    def _apply(self, update: ViewUpdate) -> bool:
        if update.base:
            return self.view.apply(update)
        before = set(self.view.tentative_removals)
        changed = self.view.apply(update, is_tentative=True)
        if not before.issuperset(self.view.tentative_removals):
            # Not for those that further pulls lack as well, as they would
            # never be confirmed.
            self.confirm_removals_at = self.view.clock() + REMOVAL_GRACE_S
        return changed

    def _on_failure(self) -> None:
        # The next status of a peer starts another pull.
        logger.exception('task-failed', extra={'task': 'view-pull'})
        self.failures += 1
