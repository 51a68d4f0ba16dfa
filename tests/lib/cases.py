"""Base class of the functional tests.

It starts a cluster, drives load on it and checks the guarantees given to
clients.
"""

import asyncio
import contextlib
import json
import unittest
from collections.abc import AsyncIterator, Iterable
from typing import Any

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire import ConnectionIdCodec
from dragonflyshift._internal.wire.keys import FleetKeys
from dragonflyshift._internal.wire.messages import StatusReply, StatusRequest
from dragonflyshift._internal.wire.stream import connect_stream
from tests.lib.cluster import LISTS, Cluster, ClusterPlan, Instance
from tests.lib.declarations import ServicePlan
from tests.lib.h3 import H3Client
from tests.lib.load import Load, Target
from tests.lib.summary import Summary, check_journals
from tests.lib.waiting import eventually

STATUS_TIMEOUT_SECONDS = 3.0
ONE_SERVICE = ClusterPlan(
    services=(ServicePlan(LISTS, 'association', endpoints=2, slots=3),),
    balancers=2,
)
MIX = {'list': 6.0, 'edit': 2.0, 'export': 1.0, 'photo': 1.0, 'board': 1.0}


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    """Starts a cluster as described by ``plan`` for each test."""

    plan = ONE_SERVICE

    async def asyncSetUp(self) -> None:
        """Start all processes of the cluster."""
        self.cluster = Cluster(self.plan)
        await self.enterAsyncContext(self.cluster)

    def target(self, clients: int = 6, **mix: float) -> Target:
        """Return a load target for the first service of the plan."""
        service = self.plan.services[0].name
        return self.cluster.target(service, mix or MIX, clients)

    @contextlib.asynccontextmanager
    async def load(
        self,
        *targets: Target,
        **options: Any,
    ) -> AsyncIterator[Summary]:
        """Drive load while the block runs; yields the load's summary."""
        shared = {'board_seconds': 2.0, 'export_bytes': 200_000, **options}
        load = Load(
            targets or (self.target(),),
            self.cluster.options(**shared),
        )
        load.start()
        try:
            yield load.summary
        finally:
            await load.stop()

    async def set_delay(self, seconds: float) -> None:
        """Set the service time of all backend servers, in seconds."""
        for instance in self.cluster.instances:
            await instance.set_behavior(delay=seconds)

    async def assert_guarantees(self, summary: Summary) -> None:
        """Assert that no response and no journal breaks a guarantee."""
        self.assertGreater(summary.whole, 0, summary)
        self.assert_counts(
            summary,
            broken_flows=0,
            wrong_body=0,
            wrong_service=0,
            unknown=0,
            refused_other=0,
        )
        await self.assert_journals(summary)

    async def assert_journals(self, summary: Summary) -> None:
        """Assert that the backend journals agree with the clients' results."""
        check = check_journals(summary, await self.cluster.journal())
        self.assertTrue(check.holds, check)

    def assert_counts(self, summary: Summary, **expected: int) -> None:
        """Assert that the named counts of a summary have these values."""
        found = {name: getattr(summary, name) for name in expected}
        self.assertEqual(found, expected, summary.problems)

    def flow_owner(self, conn: H3Client) -> Instance:
        """Return the instance whose sidecar owns a connection's flow."""
        codec = ConnectionIdCodec(FleetKeys.parse(self.plan.fleet_keys))
        decoded_id = codec.decode(conn.peer_connection_id)
        self.assertIsNotNone(decoded_id)
        return next(
            each
            for each in self.cluster.instances
            if decoded_id and each.endpoint.address == decoded_id.address
        )

    async def status(self, address: Address) -> dict[str, Any]:
        """Request the status report of a daemon."""
        keys = FleetKeys.parse(self.plan.fleet_keys)
        async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
            stream = await connect_stream(
                address,
                keys,
                STATUS_TIMEOUT_SECONDS,
            )
            await stream.send(StatusRequest())
            reply = await stream.receive()
            await stream.close()
        self.assertIsInstance(reply, StatusReply)
        report: dict[str, Any] = json.loads(getattr(reply, 'report', b''))
        return report

    def daemon_addresses(self) -> list[Address]:
        """Return the addresses of all balancers and sidecars."""
        return [
            *(each.address for each in self.cluster.balancers),
            *(each.endpoint.address for each in self.cluster.instances),
        ]

    async def wait_for_version(
        self,
        key: str,
        version: int,
        daemons: Iterable[Address],
        timeout: float = 5.0,
    ) -> None:
        """Wait until all daemons apply a document's version or a later one.

        Raises AssertionError if a daemon doesn't within ``timeout`` seconds.
        """
        for daemon in daemons:

            async def is_applied(daemon: Address = daemon) -> bool:
                report = await self.status(daemon)
                found: int = report['version'].get(key, 0)
                return found >= version

            what = f'version {version} of {key} on {daemon}'
            await eventually(is_applied, timeout, what)

    async def wait_for_requests(self, count: int = 1) -> None:
        """Wait until the backend servers have started ``count`` requests."""

        async def has_run() -> bool:
            return len(await self.cluster.journal()) >= count

        await eventually(has_run, what=f'{count} requests run')
