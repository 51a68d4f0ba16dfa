"""Tests that open flows are found after their route moved.

A change of the configuration led a route to another service, and then all
daemons were replaced, one at a time or all at once. No daemon knew any more
where the flows were; all their packets reached servers of the new service, and
no request was answered.
"""

import asyncio
import random
import signal
import tempfile
import unittest
from functools import partial
from pathlib import Path

from bench.soak.backend import Violations
from bench.soak.clients import SoakClients, SoakFlow
from bench.soak.fleet import (
    SERVICES,
    SoakFleet,
    fetch_readiness,
    reserve_subnet,
)
from tests.lib.waiting import eventually, wait_until

_ROUTE = 'lists'
_FLOWS = 12


class MovedRoutesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.violations = Violations()
        subnet = self.enterContext(reserve_subnet())
        self.fleet = SoakFleet(Path(folder.name), self.violations, subnet)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.clients = SoakClients(
            (f'127.0.{subnet + 2}.1', self.fleet.ports['packets']),
            tuple(SERVICES.values()),
            self.fleet.ready_balancers,
            self.fleet.backends,
            random.Random(1),
            self.violations,
        )
        self.clients.start()
        self.addCleanup(self.clients.close)
        probes = asyncio.create_task(self.fleet.probe_readiness())
        self.addCleanup(probes.cancel)
        await wait_until(lambda: self.fleet.has_ready_balancers, 10)

    async def test_flows_are_found_after_all_daemons_restarted_in_turn(self):
        flows = await self._open_flows()
        await self._move_route('parts')
        for name in self.fleet.sidecars() + self.fleet.balancers():
            await self._restart(signal.SIGTERM, name)
        await self._check_flows(flows)

    async def test_flows_are_found_after_all_daemons_were_killed(self) -> None:
        flows = await self._open_flows()
        await self._move_route('parts')
        names = self.fleet.sidecars() + self.fleet.balancers()
        await self._restart(signal.SIGKILL, *names)
        await self._check_flows(flows)

    async def test_flows_are_found_after_a_route_moved_twice(self) -> None:
        """The sidecars restart between the moves, the balancers after them."""
        flows = await self._open_flows()
        await self._move_route('parts')
        await self._restart(signal.SIGTERM, *self.fleet.sidecars())
        flows += await self._open_flows()
        await self._move_route(_ROUTE)
        await self._restart(signal.SIGKILL, *self.fleet.balancers())
        await self._check_flows(flows)

    async def _open_flows(self) -> list[SoakFlow]:
        flows = [self.clients.new_flow(SERVICES[_ROUTE]) for _ in range(_FLOWS)]
        opened = await asyncio.gather(*map(self.clients.open_flow, flows))
        self.assertTrue(all(opened))
        answered = await asyncio.gather(
            *(self.clients.send_request(flow, b'1', 1) for flow in flows)
        )
        self.assertTrue(all(answered))
        return flows

    async def _move_route(self, service: str) -> None:
        self.fleet.publish_configuration(moved={_ROUTE: service})
        # The users' bound for a new version.
        await asyncio.sleep(3)

    async def _restart(self, signal_number: signal.Signals, *names: str):
        daemons = self.fleet.daemons
        await asyncio.gather(
            *(daemons.stop(name, signal_number) for name in names)
        )
        for name in names:
            await daemons.start(name)
        for name in names:
            await eventually(partial(self._is_ready, name), 10, name)

    async def _is_ready(self, name: str) -> bool:
        host, port = self.fleet.host(name), self.fleet.ports['ready']
        try:
            return await fetch_readiness(host, port) == b'200'
        except OSError:
            return False

    async def _check_flows(self, flows: list[SoakFlow]) -> None:
        await wait_until(lambda: self.fleet.has_ready_balancers, 10)
        answered = await asyncio.gather(
            *(self.clients.send_request(flow, b'2', 2) for flow in flows)
        )
        self.assertEqual(answered.count(True), len(flows))
        self.assertEqual(self.violations.lines, [])
