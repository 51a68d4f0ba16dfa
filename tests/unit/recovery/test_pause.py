"""Tests of the detection of process pauses.

They guard against a process that acts on expired leases and views after it was
stopped or its host was suspended.
"""

import asyncio
import contextlib
import unittest

from dragonflyshift._internal.recovery import (
    PauseDetector,
    suspended_seconds,
    watch_pauses,
)


class PauseDetectorTest(unittest.IsolatedAsyncioTestCase):
    def test_only_gaps_above_the_limit_are_pauses(self):
        detector = PauseDetector(2, float)
        pauses = [detector.observe(now) for now in (100, 101, 103, 113, 114)]
        self.assertEqual(pauses, [0, 0, 0, 10, 0])

    def test_suspension_of_the_host_is_a_pause(self):
        suspended = iter((0, 0, 60, 60))
        detector = PauseDetector(2, lambda: next(suspended))
        pauses = [detector.observe(now) for now in (10, 11, 12)]
        self.assertEqual(pauses, [0, 61, 0])

    def test_clocks_of_this_host_can_be_read(self):
        self.assertGreaterEqual(suspended_seconds(), -1)

    async def test_watch_calls_back_after_a_pause(self):
        suspended = iter((0, 0, 5, 5))
        detector = PauseDetector(1, lambda: next(suspended, 5))
        detector.limit = 0.02
        pause = asyncio.get_running_loop().create_future()
        watch = asyncio.create_task(watch_pauses(detector, pause.set_result))
        with self.assertLogs(level='WARNING'):
            self.assertGreaterEqual(await asyncio.wait_for(pause, 5), 5)
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
