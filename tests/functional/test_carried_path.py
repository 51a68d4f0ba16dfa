"""The carried path through real processes."""

import asyncio
import re
import signal
import tempfile
import unittest
from pathlib import Path

from tests.lib.carried import ACK, SYN, build_key, build_packet
from tests.lib.carried_stage import (
    BALANCER_HOST,
    CLIENT_HOST,
    SERVER_SEQUENCE,
    SIDECAR_HOST,
    BackendStandIn,
    CarriedClient,
    CarriedStage,
)


def _ignores_reloads(pid: int) -> bool:
    status = Path(f'/proc/{pid}/status').read_text()
    (ignored,) = re.findall(r'SigIgn:\s*([0-9a-f]+)', status)
    return bool(int(ignored, 16) & 1 << signal.SIGHUP - 1)


class CarriedPathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.stage = CarriedStage(Path(folder.name))
        self.addAsyncCleanup(self.stage.close)
        await self.stage.start()
        ports = self.stage.ports
        self.backend = BackendStandIn(
            (SIDECAR_HOST, ports['app']),
            (SIDECAR_HOST, ports['outbound']),
        )
        self.addCleanup(self.backend.close)
        self.client = CarriedClient(
            (CLIENT_HOST, ports['packets']),
            (BALANCER_HOST, ports['packets']),
        )
        self.addCleanup(self.client.close)
        client = bytes(int(part) for part in CLIENT_HOST.split('.'))
        self.key = client + build_key()[4:]

    async def test_flow_opens_and_is_answered(self) -> None:
        await self._open()
        await self._exchange()

    async def test_flow_outlives_its_sidecar(self) -> None:
        await self._open()
        await self.stage.signal('sidecar', signal.SIGKILL)
        await self.stage.run('sidecar')
        await self._exchange()

    async def test_flow_outlives_its_balancer(self) -> None:
        await self._open()
        await self.stage.signal('balancer', signal.SIGKILL)
        await self.stage.run('balancer')
        await self._exchange()

    async def test_flow_of_a_server_that_restarted_is_reset(self) -> None:
        await self._open()
        self.backend.held.clear()
        packet = await self.client.ask(self._request())
        self.assertTrue(packet.is_rst)

    async def test_stop_ends_well_and_says_so_before(self) -> None:
        await self._open()
        self.assertEqual(await self.stage.signal('sidecar', signal.SIGTERM), 0)
        self.assertEqual(await self.stage.ready_status(), 200)
        self.assertEqual(await self.stage.signal('balancer', signal.SIGTERM), 0)

    async def test_changed_settings_stop_nothing(self) -> None:
        await self._open()
        for role in ('balancer', 'sidecar'):
            self.stage.processes[role].send_signal(signal.SIGHUP)
        await self._exchange()

    async def test_reload_during_a_start_stops_nothing(self) -> None:
        """An unhandled SIGHUP ends a process; a start takes a while."""
        await self.stage.signal('balancer', signal.SIGKILL)
        await self.stage.run('balancer')
        process = self.stage.processes['balancer']
        await self._wait_until_reloads_are_ignored(process.pid)
        for _ in range(20):
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
        await self.stage.wait_ready()
        self.assertIsNone(process.returncode)

    async def _wait_until_reloads_are_ignored(self, pid: int) -> None:
        """Wait for the first line of the program, however slow its start."""
        for _ in range(500):
            if _ignores_reloads(pid):
                return
            await asyncio.sleep(0.01)
        self.fail('a reload is not ignored')

    async def _open(self) -> None:
        packet = await self.client.ask(build_packet(self.key, SYN))
        self.assertTrue(packet.is_syn)
        self.assertEqual(packet.sequence, SERVER_SEQUENCE)
        opened = build_packet(
            self.key,
            ACK,
            acknowledged=SERVER_SEQUENCE + 1,
            payload=b'hello',
        )
        await self.client.ask(opened)

    async def _exchange(self) -> None:
        packet = await self.client.ask(self._request())
        self.assertTrue(packet.payload_bytes)
        self.assertFalse(packet.is_rst)

    def _request(self) -> bytes:
        return build_packet(
            self.key,
            ACK,
            sequence=100,
            acknowledged=SERVER_SEQUENCE + 7,
            payload=b'GET',
        )


if __name__ == '__main__':
    unittest.main()
