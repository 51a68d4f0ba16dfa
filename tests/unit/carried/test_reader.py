import asyncio
import random
import time
import unittest
from collections.abc import Sequence

from dragonflyshift._internal.carried.fleet.reader import (
    REMOVAL_GRACE_S,
    StoreReader,
)
from dragonflyshift._internal.carried.fleet.source import (
    HistoryLostError,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.exceptions import PlatformError
from tests.lib.carried import SERVICE, build_record, build_routes

_COMPLETE_STATE = ViewUpdate(
    0,
    5,
    (build_record(1), build_record(2)),
    routes=build_routes(1),
)


class _ScriptedSource(ViewSource):
    """Return the answers in turn; raise those that are errors."""

    def __init__(self, answers: Sequence[ViewUpdate | PlatformError]) -> None:
        self.calls: list[str] = []
        self._answers = list(answers)

    async def read_all(self) -> ViewUpdate:
        return await self._next('all')

    async def wait(self, after: int) -> ViewUpdate:
        return await self._next(f'after {after}')

    def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _next(self, call: str) -> ViewUpdate:
        if not self._answers:
            await asyncio.Event().wait()
        self.calls.append(call)
        answer = self._answers.pop(0)
        if isinstance(answer, PlatformError):
            raise answer
        return answer


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_changes_are_read_after_the_complete_state(self) -> None:
        leaving = build_record(1, revision=6, is_leaving=True)
        source = _ScriptedSource(
            [_COMPLETE_STATE, ViewUpdate(5, 6, (leaving,))]
        )
        reader = await self._run(source, 0.3)
        self.assertEqual(source.calls, ['all', 'after 5'])
        self.assertTrue(reader.view.records['instance-1'].is_leaving)
        self.assertTrue(reader.is_reading)

    async def test_lost_history_causes_a_full_read(self) -> None:
        source = _ScriptedSource(
            [_COMPLETE_STATE, HistoryLostError('gone'), _COMPLETE_STATE]
        )
        await self._run(source, 0.4)
        self.assertEqual(source.calls, ['all', 'after 5', 'all'])

    async def test_entry_that_expired_in_an_outage_is_kept_for_a_while(self):
        expired = ViewUpdate(5, 7, removed=(('instance-1', 7),))
        source = _ScriptedSource(
            [_COMPLETE_STATE, PlatformError('down'), expired]
        )
        reader = await self._run(source, 0.8)
        self.assertEqual(len(reader.view.endpoints(SERVICE)), 2)
        now = time.monotonic()
        self.assertEqual(reader.confirm_removals(now), ())
        dropped = reader.confirm_removals(now + REMOVAL_GRACE_S)
        self.assertEqual(dropped, ('instance-1',))
        self.assertEqual(len(reader.view.endpoints(SERVICE)), 1)

    async def test_failing_store_is_retried_with_backoff(self) -> None:
        failures = [PlatformError('down') for _ in range(50)]
        source = _ScriptedSource(failures)
        reader = await self._run(source, 1.5)
        self.assertLess(len(source.calls), 8)
        self.assertFalse(reader.is_reading)

    async def _run(self, source: ViewSource, seconds: float) -> StoreReader:
        reader = StoreReader(
            FleetView(),
            source,
            random.Random(1),
            lambda: True,
            _ignore,
        )
        task = asyncio.create_task(reader.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return reader


def _ignore(_changed: bool) -> None:
    """Ignore an update."""
