"""Pulling a peer's view, one pull at a time."""

__all__ = ('ViewPuller',)

import asyncio
import logging
from collections.abc import Callable

from attrs import define, field

from dragonflyshift._internal.carried.fleet.exchange import pull_view
from dragonflyshift._internal.carried.fleet.view import FleetView
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.exceptions import PeerError

logger = logging.getLogger(__name__)

MIN_GAP_S = 0.05
# Views that differ at one revision are compared no more often.
MIN_FULL_GAP_S = 1.0


@define(eq=False, repr=False)
class ViewPuller:
    """Bring the view up to date from peers that are ahead.

    ``pulled(changed, peer)`` is called after each success.
    """

    view: FleetView
    pulled: Callable[[bool, SocketAddress], None]
    _started_at: float = field(default=float('-inf'))
    _task: asyncio.Task[None] | None = field(default=None)

    def pull(self, now: float, address: SocketAddress) -> None:
        """Pull what a peer knows beyond this view."""
        self._start(now, address, self.view.revision, MIN_GAP_S)

    def pull_all(self, now: float, address: SocketAddress) -> None:
        """Pull a peer's complete view."""
        self._start(now, address, 0, MIN_FULL_GAP_S)

    def _start(
        self, now: float, address: SocketAddress, base: int, gap_s: float
    ) -> None:
        is_running = self._task is not None and not self._task.done()
        if is_running or now - self._started_at < gap_s:
            return
        self._started_at = now
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._pull_from(address, base))

    async def _pull_from(self, address: SocketAddress, base: int) -> None:
        try:
            update = await pull_view(address, base, self.view.routes.version)
        except PeerError as exc:
            logger.info('pull-failed', extra={'reason': str(exc)})
            return
        self.pulled(self.view.apply(update), address)
