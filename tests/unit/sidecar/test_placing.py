"""Where a request goes when the own backend server can't run it."""

import asyncio
import time
import unittest
from unittest.mock import AsyncMock, Mock

from dragonflyshift._internal.limits import AdaptiveAdmission
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.placing import SlotFinder
from dragonflyshift._internal.sidecar.request import (
    ReplayBody,
    Request,
    RequestInfo,
)
from dragonflyshift._internal.telemetry import NoMetrics

AT_ONCE_SECONDS = 0.05
TIMEOUT_SECONDS = 30


def _request() -> Request:
    info = RequestInfo(
        method=b'GET',
        target=b'/lists/1',
        headers=(),
        deadline=time.monotonic() + TIMEOUT_SECONDS,
        idempotent=True,
        streaming=False,
        client=b'flow',
    )
    return Request(info, ReplayBody())


class SlotFinderTest(unittest.IsolatedAsyncioTestCase):
    def finder(self, **claims: object) -> SlotFinder:
        return SlotFinder(
            AdaptiveAdmission(1, 8, 0, time.monotonic()),
            Mock(),
            Mock(**{'claim': AsyncMock(return_value=None), **claims}),
            lambda: True,
            Mock(),
            NoMetrics('sidecar'),
        )

    async def test_refused_at_once_without_any_peer(self) -> None:
        finder = self.finder(has_peers=Mock(return_value=False))
        async with asyncio.timeout(AT_ONCE_SECONDS):
            with self.assertRaises(NotRunError):
                await finder.find(_request(), avoid_own=True)

    async def test_peers_are_asked_again_while_there_are_some(self) -> None:
        place = Mock()
        finder = self.finder(
            has_peers=Mock(return_value=True),
            claim=AsyncMock(side_effect=[None, None, place]),
        )
        found = await finder.find(_request(), avoid_own=True)
        self.assertIs(found, place)

    async def test_queued_request_is_moved_when_the_sidecar_leaves(self):
        place = Mock()
        finder = self.finder(
            has_peers=Mock(return_value=True),
            claim=AsyncMock(side_effect=[None, None, place]),
        )
        await finder.find(_request(), avoid_own=False)
        queued = asyncio.create_task(
            finder.find(_request(), avoid_own=False),
        )
        await asyncio.sleep(0)
        finder._runs_here = bool
        finder.pump()
        self.assertIs(await queued, place)
