"""Functional tests of the carried path with real processes."""

import asyncio
import re
import signal
import tempfile
import unittest
from pathlib import Path

from tests.lib.carried import ACK, SYN, build_key, build_packet
from tests.lib.carried_harness import (
    BALANCER_HOST,
    CLIENT_HOST,
    SERVER_SEQUENCE,
    SIDECAR_HOST,
    CarriedHarness,
    FakeBackend,
    PacketClient,
    fetch_metrics,
)
from tests.lib.kvstore import build_item

_EVACUATION = 'op/evacuate/klang'
# The time within which a request of the operator must be in force.
_EVACUATION_BOUND_S = 5


def _ignores_sighup(pid: int) -> bool:
    status = Path(f'/proc/{pid}/status').read_text()
    (ignored,) = re.findall(r'SigIgn:\s*([0-9a-f]+)', status)
    return bool(int(ignored, 16) & 1 << signal.SIGHUP - 1)


class CarriedPathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.harness = CarriedHarness(Path(folder.name))
        self.addAsyncCleanup(self.harness.close)
        await self.harness.start()
        ports = self.harness.ports
        self.backend = FakeBackend(
            (SIDECAR_HOST, ports['app']),
            (SIDECAR_HOST, ports['outbound']),
        )
        self.addCleanup(self.backend.close)
        self.client = PacketClient(
            (CLIENT_HOST, ports['packets']),
            (BALANCER_HOST, ports['packets']),
        )
        self.addCleanup(self.client.close)
        client = bytes(int(part) for part in CLIENT_HOST.split('.'))
        self.key = client + build_key()[4:]

    async def test_flow_opens_and_is_answered(self) -> None:
        await self._open_flow()
        await self._exchange_packets()

    async def test_flow_survives_a_restart_of_its_sidecar(self) -> None:
        await self._open_flow()
        await self.harness.stop_process('sidecar', signal.SIGKILL)
        await self.harness.start_process('sidecar')
        await self._exchange_packets()

    async def test_flow_survives_a_restart_of_its_balancer(self) -> None:
        await self._open_flow()
        await self.harness.stop_process('balancer', signal.SIGKILL)
        await self.harness.start_process('balancer')
        await self._exchange_packets()

    async def test_flow_of_a_server_that_restarted_is_reset(self) -> None:
        await self._open_flow()
        self.backend.held_flows.clear()
        packet = await self.client.request(self._request())
        self.assertTrue(packet.is_rst)

    async def test_metrics_of_both_daemons_count_flows(self) -> None:
        """The roles block modules that the library of the page imports."""
        await self._open_flow()
        await self._exchange_packets()
        for role, host, counter in (
            ('balancer', BALANCER_HOST, 'dragonflyshift_openings_total'),
            ('sidecar', SIDECAR_HOST, 'dragonflyshift_service_seconds_count'),
        ):
            with self.subTest(role=role):
                first = await fetch_metrics(host)
                self.assertGreaterEqual(first[counter], 1)
                self.assertGreaterEqual((await fetch_metrics(host))[counter], 1)
        metrics = await fetch_metrics(SIDECAR_HOST)
        self.assertIn(
            'dragonflyshift_service_seconds_bucket{le="+Inf"}', metrics
        )

    async def test_sidecar_runs_with_fair_shares(self) -> None:
        """Its policy is imported by name, while a start blocks modules."""
        self.harness.plugins['opening-policy'] = 'fair-share'
        await self.harness.stop_process('sidecar', signal.SIGKILL)
        await self.harness.start_process('sidecar')
        # A balancer refuses a flow that it can't place within 1.3 s.
        await self.harness.wait_ready(SIDECAR_HOST)
        await self._open_flow()
        await self._exchange_packets()
        metrics = await fetch_metrics(SIDECAR_HOST)
        self.assertEqual(metrics['dragonflyshift_share_accounts'], 1)
        self.assertEqual(metrics['dragonflyshift_shares_in_force'], 0)

    async def test_sigterm_stops_both_daemons_with_exit_status_0(self) -> None:
        await self._open_flow()
        self.assertEqual(
            await self.harness.stop_process('sidecar', signal.SIGTERM),
            0,
        )
        self.assertEqual(await self.harness.ready_status(), 200)
        self.assertEqual(
            await self.harness.stop_process('balancer', signal.SIGTERM),
            0,
        )

    async def test_sighup_does_not_stop_the_daemons(self) -> None:
        await self._open_flow()
        for role in ('balancer', 'sidecar'):
            self.harness.processes[role].send_signal(signal.SIGHUP)
        await self._exchange_packets()

    async def test_sighup_during_a_start_does_not_stop_a_daemon(self) -> None:
        """SIGHUP ends a process that has no handler for it yet."""
        await self.harness.stop_process('balancer', signal.SIGKILL)
        await self.harness.start_process('balancer')
        process = self.harness.processes['balancer']
        await self._wait_until_sighup_is_ignored(process.pid)
        for _ in range(20):
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
        await self.harness.wait_ready()
        self.assertIsNone(process.returncode)

    async def test_evacuation_stops_new_flows_and_keeps_open_ones(self) -> None:
        """New flows must not reach a data centre that operators work on."""
        await self._open_flow()
        self.harness.store.publish(build_item(_EVACUATION, 3, {}))
        await self._wait_for_answer(is_refused=True)
        await self._exchange_packets()
        end = {'key': _EVACUATION, 'revision': 4, 'deleted': True}
        self.harness.store.publish(end)
        await self._wait_for_answer(is_refused=False)

    async def _wait_for_answer(self, *, is_refused: bool) -> None:
        """Open new flows until they are refused, or until they aren't."""
        async with asyncio.timeout(_EVACUATION_BOUND_S):
            for port in range(50_000, 50_200):
                key = self.key[:4] + port.to_bytes(2, 'big') + self.key[6:]
                answer = await self.client.request(build_packet(key, SYN))
                if answer.is_rst is is_refused:
                    return
                await asyncio.sleep(0.05)
        self.fail('the evacuation had no effect')

    async def _wait_until_sighup_is_ignored(self, pid: int) -> None:
        """Wait until the program ignores SIGHUP, which it does first."""
        for _ in range(500):
            if _ignores_sighup(pid):
                return
            await asyncio.sleep(0.01)
        self.fail('the process does not ignore SIGHUP')

    async def _open_flow(self) -> None:
        packet = await self.client.request(build_packet(self.key, SYN))
        self.assertTrue(packet.is_syn)
        self.assertEqual(packet.sequence, SERVER_SEQUENCE)
        opened = build_packet(
            self.key,
            ACK,
            acknowledged=SERVER_SEQUENCE + 1,
            payload=b'hello',
        )
        await self.client.request(opened)

    async def _exchange_packets(self) -> None:
        packet = await self.client.request(self._request())
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
