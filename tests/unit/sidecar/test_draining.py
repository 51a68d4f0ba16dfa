"""Graceful shutdown of a sidecar that still runs a save.

A peer may forward a save with a key of this sidecar until its outcome table is
frozen. Such a save is running when the outcomes are handed over, and the peers
adopt an unknown outcome. Once it has ended, its outcome has to reach them.
"""

import unittest
from unittest.mock import AsyncMock, patch

from dragonflyshift._internal.sidecar.draining import Drainer


class _SaveDuringHandover:
    """A save that is running at the first handover and has ended later."""

    def __init__(self) -> None:
        self.handed_over: list[str] = []
        self._running = iter((0, 1))

    def count_running(self) -> int:
        return next(self._running, 0)

    async def hand_over(self) -> int:
        self.handed_over.append('ended' if self.handed_over else 'running')
        return 1


class DrainerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        for name in ('POLL_SECONDS', 'ANNOUNCE_SECONDS', 'REJECT_SECONDS'):
            patcher = patch(f'{Drainer.__module__}.{name}', 0)
            patcher.start()
            self.addCleanup(patcher.stop)

    async def test_save_that_ends_after_the_handover_is_handed_over(self):
        save = _SaveDuringHandover()
        await Drainer([], save.count_running, save).drain(10)
        self.assertEqual(save.handed_over, ['running', 'ended'])

    async def test_wait_for_a_running_save_ends_with_the_drain_limit(self):
        handover = AsyncMock()
        await Drainer([], lambda: 1, handover).drain(0.05)
        handover.hand_over.assert_awaited()
