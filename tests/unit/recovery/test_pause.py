import asyncio
import contextlib
import unittest

from dragonflyshift._internal.recovery import (
    PauseDetector,
    suspended_seconds,
    watch_pauses,
)


class PauseTest(unittest.IsolatedAsyncioTestCase):
    def test_only_gaps_above_the_limit_are_pauses(self):
        detector = PauseDetector(2, float)
        found = [detector.observe(now) for now in (100, 101, 103, 113, 114)]
        self.assertEqual(found, [0, 0, 0, 10, 0])

    def test_sleep_of_the_host_counts(self):
        slept = iter((0, 0, 60, 60))
        detector = PauseDetector(2, lambda: next(slept))
        found = [detector.observe(now) for now in (10, 11, 12)]
        self.assertEqual(found, [0, 61, 0])

    def test_clock_of_this_machine_can_be_read(self):
        self.assertGreaterEqual(suspended_seconds(), -1)

    async def test_watch_calls_back_after_a_pause(self):
        slept = iter((0, 0, 5, 5))
        detector = PauseDetector(1, lambda: next(slept, 5))
        detector.limit = 0.02
        found = asyncio.get_running_loop().create_future()
        watch = asyncio.create_task(watch_pauses(detector, found.set_result))
        with self.assertLogs(level='WARNING'):
            self.assertGreaterEqual(await asyncio.wait_for(found, 5), 5)
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
