"""Tests that an unforeseen exception ends no duty of a daemon for good.

The task that reads the store ended by an exception without a line in the log.
The daemon served on, but applied and passed on no change until its restart.
"""

import asyncio
import random
import time
import unittest
from unittest.mock import patch

from dragonflyshift._internal.carried.background import (
    TaskSupervisor,
    Ticker,
)
from dragonflyshift._internal.carried.fleet.exchange import (
    PULL_TIMEOUT_S,
    ViewServer,
    pull_view,
)
from dragonflyshift._internal.carried.fleet.puller import ViewPuller
from dragonflyshift._internal.carried.fleet.reader import (
    StoreReader,
    ViewSource,
)
from dragonflyshift._internal.carried.fleet.view import FleetView, ViewUpdate
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.telemetry import Counters
from dragonflyshift._internal.exceptions import PeerError
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from tests.lib.carried import build_record, build_routes, build_view
from tests.lib.waiting import wait_until

_STABLE_RUN = 'dragonflyshift._internal.carried.background.STABLE_RUN_S'


class _ChangingSource(ViewSource):
    """A store with a new record at each call."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.closes = 0

    async def read_all(self) -> ViewUpdate:
        self.calls.append('all')
        return self._update(0)

    async def wait(self, after: int, wait_s: float) -> ViewUpdate:
        self.calls.append('wait')
        return self._update(after)

    def close(self) -> None:
        self.closes += 1

    def _update(self, base: int) -> ViewUpdate:
        revision = len(self.calls)
        records = tuple(map(build_record, range(1, revision + 1)))
        return ViewUpdate(base, revision, records, routes=build_routes(1))


class SupervisorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.counters = Counters()
        self.supervisor = TaskSupervisor(self.counters, random.Random(1))
        self.addCleanup(self.supervisor.cancel)

    async def test_failed_task_is_restarted_with_backoff(self) -> None:
        runs: list[float] = []

        async def fail() -> None:
            runs.append(time.monotonic())
            raise LookupError('unforeseen')

        with self.assertLogs(level='ERROR') as logs:
            self.supervisor.start('duty', fail)
            await wait_until(lambda: len(runs) == 4, 5)
        self.assertEqual(logs.records[0].__dict__['task'], 'duty')
        self.assertIsNotNone(logs.records[0].exc_info)
        self.assertGreaterEqual(self.counters.counts['task_failures'], 3)
        self.assertGreater(runs[3] - runs[2], runs[1] - runs[0])

    async def test_task_that_ran_for_long_restarts_soon(self) -> None:
        runs: list[float] = []

        async def fail() -> None:
            runs.append(time.monotonic())
            raise LookupError('unforeseen')

        with patch(_STABLE_RUN, -1), self.assertLogs():
            self.supervisor.start('duty', fail)
            await wait_until(lambda: len(runs) == 5, 5)
        self.assertLess(runs[4] - runs[0], 1)

    async def test_reader_of_the_store_continues_with_a_full_read(self) -> None:
        """The exception came from the publication of a change."""
        source = _ChangingSource()
        view = FleetView()
        readings: list[bool] = []

        def publish(_changed: bool) -> None:
            readings.append(reader.is_reading)
            if len(readings) == 2:
                raise OverflowError('int too large to convert')

        reader = StoreReader(
            view, source, random.Random(1), lambda: True, publish
        )
        with self.assertLogs(level='ERROR'):
            self.supervisor.start('store-reader', reader.run)
            await wait_until(lambda: len(readings) == 2, 2)
            # Another daemon takes over meanwhile.
            await wait_until(lambda: not reader.is_reading, 2)
            await wait_until(lambda: len(readings) == 4, 2)
        self.assertEqual(source.calls[:4], ['all', 'wait', 'all', 'wait'])
        self.assertEqual(source.closes, 1)
        self.assertTrue(reader.is_reading)


class TickerTest(unittest.IsolatedAsyncioTestCase):
    async def test_ticker_goes_on_after_an_exception(self) -> None:
        calls: list[int] = []

        def fail_once() -> bool:
            calls.append(1)
            if len(calls) == 1:
                raise LookupError('unforeseen')
            return True

        ticker = Ticker(fail_once)
        with self.assertLogs(level='ERROR'):
            ticker.start()
            await wait_until(lambda: len(calls) > 3, 2)
        ticker.stop()


class _FailingView(FleetView):
    """A view whose changes can't be read or applied."""

    def since(self, base: int) -> ViewUpdate:
        raise LookupError('unforeseen')

    def apply(self, update: ViewUpdate, *, is_tentative: bool = False) -> bool:
        raise LookupError('unforeseen')


class PullTest(unittest.IsolatedAsyncioTestCase):
    async def test_pull_that_fails_at_the_peer_ends_at_once(self) -> None:
        """Until its timeout the daemon would pull from no other peer."""
        served = ViewServer(_FailingView())
        address = await self._listen(served)
        started_at = time.monotonic()
        with self.assertLogs(level='ERROR'), self.assertRaises(PeerError):
            await pull_view(address, 0, 0)
        self.assertLess(time.monotonic() - started_at, PULL_TIMEOUT_S / 2)
        self.assertEqual(served.failures, 1)

    async def test_puller_goes_on_after_an_exception(self) -> None:
        address = await self._listen(ViewServer(build_view()))
        puller = ViewPuller(_FailingView(), lambda _changed, _peer: None)
        with self.assertLogs(level='ERROR'):
            puller.pull(1, address)
            await wait_until(lambda: puller.failures == 1, 2)
            puller.pull(2, address)
            await wait_until(lambda: puller.failures == 2, 2)

    async def _listen(self, views: ViewServer) -> SocketAddress:
        server = await asyncio.start_server(views.handle, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        return (host, port)


class DatagramTest(unittest.IsolatedAsyncioTestCase):
    async def test_exception_of_a_handler_is_counted(self) -> None:
        failures: list[int] = []

        def fail(_raw: bytes, _sender: SocketAddress) -> None:
            raise LookupError('unforeseen')

        sock = BoundSockets().take(('127.0.0.1', 0))
        receiver = PlainUdpSocket(sock, fail, lambda: failures.append(1))
        self.addCleanup(receiver.close)
        with self.assertLogs(level='ERROR'):
            for _ in range(2):
                receiver.send(b'?', sock.getsockname())
            await wait_until(lambda: len(failures) == 2, 2)
