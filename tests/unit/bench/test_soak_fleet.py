"""Tests the processes and the backend servers of the soak.

A daemon that is started twice leaves a process behind that disturbs later
runs. Servers that answer copies of one first packet alike let a flow open at
two of them, which the platform's servers never do.
"""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import patch

from bench.soak import processes as soak_processes
from bench.soak.backend import SoakBackend, Violations
from bench.soak.processes import DaemonProcesses
from dragonflyshift._internal.carried.packet import Packet
from dragonflyshift._internal.utils.datagrams import PlainUdpSocket
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.packets import PlatformCodec
from tests.lib.carried import ACK, SYN, build_key, build_packet
from tests.lib.ports import find_free_port
from tests.lib.waiting import eventually

_NAME = 'lists-0'
_START_S = 0.05


class _FakeProcess:
    """A process that ends on any signal but SIGCONT."""

    def __init__(self) -> None:
        self.returncode: int | None = None

    def send_signal(self, number: signal.Signals) -> None:
        if number is not signal.SIGCONT:
            self.returncode = -number

    async def wait(self) -> int | None:
        return self.returncode


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.started: list[_FakeProcess] = []
        self.daemons = DaemonProcesses(Path(folder.name), self._launch)

    async def test_supervision_starts_no_second_process(self) -> None:
        """A start takes a while, and supervision must not repeat it."""
        await self.daemons.start(_NAME)
        supervision = asyncio.create_task(self.daemons.supervise())
        with patch.object(soak_processes, 'RESTART_PERIOD_S', _START_S / 10):
            for _ in range(5):
                await self.daemons.stop(_NAME, signal.SIGKILL)
                await self.daemons.start(_NAME)
        supervision.cancel()
        self.assertEqual(self._running(), 1)

    async def test_stop_ends_the_process_of_a_start_under_way(self) -> None:
        await self.daemons.start(_NAME)
        self.started[0].returncode = 1
        restart = asyncio.create_task(self.daemons.start(_NAME))
        await asyncio.sleep(_START_S / 2)
        await self.daemons.stop(_NAME, signal.SIGKILL)
        await restart
        self.assertEqual(self._running(), 0)

    def _running(self) -> int:
        return sum(process.returncode is None for process in self.started)

    async def _launch(self, _name: str, _log: Path) -> Any:
        await asyncio.sleep(_START_S)
        process = _FakeProcess()
        self.started.append(process)
        return process


class BackendTest(unittest.IsolatedAsyncioTestCase):
    async def test_flow_opens_only_where_its_answer_is_acknowledged(
        self,
    ) -> None:
        """Copies of a first packet may reach two servers."""
        key = build_key()
        backends = [await self._start_backend(number) for number in (1, 2)]
        answers = [
            await self._exchange(backend, build_packet(key, SYN))
            for backend in backends
        ]
        request = build_packet(
            key, ACK, acknowledged=answers[0].sequence + 1, payload=b'1:1'
        )
        self.assertFalse(
            (await self._exchange(backends[0], request)).is_bounced
        )
        self.assertTrue((await self._exchange(backends[1], request)).is_bounced)
        self.assertEqual(backends[1].established, set())

    async def test_server_that_is_down_can_be_closed(self) -> None:
        """A run that fails while a server is down still closes its fleet."""
        backend = await self._start_backend(3)
        backend.crash()
        backend.crash()
        self.assertFalse(backend.is_up)

    async def _start_backend(self, number: int) -> SoakBackend:
        host = f'127.0.58.{number}'
        self.received: list[Packet] = []
        outbound = (host, find_free_port())
        sidecar = PlainUdpSocket(BoundSockets().take(outbound), self._on_packet)
        self.addCleanup(sidecar.close)
        backend = SoakBackend(
            f'lists-{number}',
            'lists',
            {443},
            (host, find_free_port()),
            outbound,
            Violations(),
        )
        await backend.start()
        self.addCleanup(backend.crash)
        return backend

    async def _exchange(self, backend: SoakBackend, raw: bytes) -> Packet:
        self.received.clear()
        client = PlainUdpSocket(
            BoundSockets().take(('127.0.58.9', 0)), self._on_packet
        )
        client.send(raw, backend.address)
        await eventually(self._has_received)
        client.close()
        return self.received[0]

    async def _has_received(self) -> bool:
        return bool(self.received)

    def _on_packet(self, raw: bytes, _address: object) -> None:
        self.received.append(PlatformCodec().from_backend(raw))
