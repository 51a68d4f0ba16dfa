"""Selection of a slot when the local backend server can't run a request.

Guards against requests that fail or wait although a peer could run them, and
against requests that wait although no peer exists.
"""

import asyncio
import time
import unittest
from unittest.mock import AsyncMock, Mock

from dragonflyshift._internal.limits import (
    AdaptiveAdmission,
    Admission,
    FairShareAdmission,
)
from dragonflyshift._internal.sidecar.failures import NotRunError
from dragonflyshift._internal.sidecar.placing import SlotFinder
from dragonflyshift._internal.sidecar.request import (
    ReplayBody,
    Request,
    RequestInfo,
)
from dragonflyshift._internal.sidecar.request_queue import LocalReservation
from dragonflyshift._internal.telemetry import NoMetrics

IMMEDIATE_SECONDS = 0.05
TIMEOUT_SECONDS = 30


def _request(client: bytes = b'flow') -> Request:
    info = RequestInfo(
        method=b'GET',
        target=b'/lists/1',
        headers=(),
        deadline=time.monotonic() + TIMEOUT_SECONDS,
        idempotent=True,
        streaming=False,
        client=client,
    )
    return Request(info, ReplayBody())


class SlotFinderTest(unittest.IsolatedAsyncioTestCase):
    def finder(
        self,
        plugin: type[Admission] = AdaptiveAdmission,
        **claims: object,
    ) -> SlotFinder:
        return SlotFinder(
            plugin(1, 8, 0, time.monotonic()),
            Mock(),
            Mock(**{'claim': AsyncMock(return_value=None), **claims}),
            lambda: True,
            Mock(),
            NoMetrics('sidecar'),
        )

    async def test_request_is_refused_immediately_without_peers(self) -> None:
        finder = self.finder(has_peers=Mock(return_value=False))
        async with asyncio.timeout(IMMEDIATE_SECONDS):
            with self.assertRaises(NotRunError):
                await finder.find(_request(), skip_local=True)

    async def test_refused_claims_are_repeated_while_peers_exist(self) -> None:
        reservation = Mock()
        finder = self.finder(
            has_peers=Mock(return_value=True),
            claim=AsyncMock(side_effect=[None, None, reservation]),
        )
        found = await finder.find(_request(), skip_local=True)
        self.assertIs(found, reservation)

    async def test_queued_request_moves_to_a_peer_when_the_sidecar_leaves(self):
        reservation = Mock()
        finder = self.finder(
            has_peers=Mock(return_value=True),
            claim=AsyncMock(side_effect=[None, None, reservation]),
        )
        await finder.find(_request(), skip_local=False)
        queued = asyncio.create_task(
            finder.find(_request(), skip_local=False),
        )
        await asyncio.sleep(0)
        finder._accepts_work = bool
        finder.dispatch()
        self.assertIs(await queued, reservation)

    async def test_evacuated_sidecar_runs_own_request_that_no_peer_takes(self):
        # With the peers full, an evacuation would otherwise refuse requests
        # of open flows although their own server is idle.
        claim = AsyncMock(return_value=None)
        finder = self.finder(has_peers=Mock(return_value=True), claim=claim)
        finder._accepts_work = bool
        finder._runs_own_requests = lambda: True
        found = await finder.find(_request(), skip_local=False)
        self.assertIsInstance(found, LocalReservation)
        claim.assert_awaited_once()

    async def test_displaced_request_is_refused_at_once(self) -> None:
        """It has not run, and must not wait for its deadline."""
        finder = self.finder(FairShareAdmission)
        await finder.find(_request(), skip_local=False)
        heavy = [
            asyncio.create_task(
                finder.find(_request(b'hostflow%d' % flow), skip_local=False)
            )
            for flow in range(8)
        ]
        await asyncio.sleep(0)
        light = asyncio.create_task(
            finder.find(_request(b'lonely'), skip_local=False)
        )
        async with asyncio.timeout(IMMEDIATE_SECONDS):
            done, queued = await asyncio.wait(
                heavy, return_when=asyncio.FIRST_COMPLETED
            )
        self.assertEqual((len(done), len(queued)), (1, 7))
        with self.assertRaisesRegex(NotRunError, 'share'):
            await done.pop()
        self.assertFalse(light.done())
        for task in (light, *queued):
            task.cancel()
