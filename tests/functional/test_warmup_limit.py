"""Tests the limit of new flows at a cold server with real processes.

The limit does not hold if the rate gets lost between the store, the balancer
and the sidecar, or if a restarted sidecar delivers flows before it has a view.
"""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

from tests.lib.carried import SYN, build_key, build_packet
from tests.lib.carried_harness import (
    BALANCER_HOST,
    CLIENT_HOST,
    SIDECAR_HOST,
    CarriedHarness,
    FakeBackend,
    PacketClient,
)

# 0.75 requests per second x 1.5 + 5
_LIMIT = 6
_OFFERS = 100
_OFFER_INTERVAL_S = 0.05
_RATE = {'name': 'lists', 'warmupS': 60, 'warmupPerS': 0.75}


class WarmupLimitTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_second_exceeds_the_limit(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        harness = CarriedHarness(
            Path(folder.name),
            configuration={'services': [_RATE]},
            bounds={'warmupOverage': 1.5, 'warmupSlack': 5},
            entry={'warmupLeftMs': 60_000, 'maxConcurrency': 50},
        )
        self.addAsyncCleanup(harness.close)
        await harness.start()
        ports = harness.ports
        backend = FakeBackend(
            (SIDECAR_HOST, ports['app']), (SIDECAR_HOST, ports['outbound'])
        )
        self.addCleanup(backend.close)
        client = PacketClient(
            (CLIENT_HOST, ports['packets']), (BALANCER_HOST, ports['packets'])
        )
        self.addCleanup(client.close)
        host = bytes(int(part) for part in CLIENT_HOST.split('.'))
        for number in range(_OFFERS):
            if number == _OFFERS // 2:
                await harness.stop_process('sidecar', signal.SIGKILL)
                await harness.start_process('sidecar')
            client.send(build_packet(host + build_key(number)[4:], SYN))
            await asyncio.sleep(_OFFER_INTERVAL_S)
        times = backend.flow_times
        self.assertGreaterEqual(len(times), 2 * _LIMIT)
        for earlier, later in zip(times, times[_LIMIT:], strict=False):
            self.assertGreater(later - earlier, 1)
