"""Test harness for fleet members in one process.

Datagrams are delivered in memory; pulls of views use loopback connections.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from attrs import define, field

from dragonflyshift._internal.carried.fleet.exchange import ViewServer
from dragonflyshift._internal.carried.fleet.member import (
    FleetMember,
    MemberCallbacks,
)
from dragonflyshift._internal.carried.messages import (
    ChangeNotice,
    DaemonStatus,
    decode_datagram,
)
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress
from tests.lib.carried import DATA_CENTER
from tests.lib.ports import find_free_port

TICK_INTERVAL_S = 0.05


@define(eq=False)
class FleetHarness:
    """Runs fleet members and delivers their datagrams.

    ``partitioned`` holds the pairs of addresses between which no datagram is
    delivered. Notices are dropped while ``drop_notices`` is set.
    """

    members: dict[SocketAddress, FleetMember] = field(factory=dict)
    partitioned: set[frozenset[SocketAddress]] = field(factory=set)
    drop_notices: bool = field(default=False)
    _servers: list[asyncio.Server] = field(factory=list)
    _port: int = field(factory=find_free_port)

    async def add(self, number: int, *, is_balancer: bool) -> FleetMember:
        """Add a member; its seed is the first member."""
        own_address = self.address(number)
        settings = NodeSettings(
            name=f'daemon-{number}',
            data_center=DATA_CENTER,
            regions={DATA_CENTER: 'selangor'},
            peers=own_address,
            readiness=own_address,
            client_port=1,
            seeds=() if number == 1 else (self.address(1),),
        )
        callbacks = MemberCallbacks(
            lambda raw, recipient: self._deliver_datagram(
                own_address,
                raw,
                recipient,
            ),
            _return_no_load,
            _ignore_view_change,
        )
        member = FleetMember(
            settings,
            callbacks,
            None,
            random.Random(number),
            is_balancer=is_balancer,
        )
        self.members[own_address] = member
        view_server = ViewServer(member.view).handle
        self._servers.append(
            await asyncio.start_server(view_server, *own_address)
        )
        return member

    def address(self, number: int) -> SocketAddress:
        """Return a member's address."""
        return (f'127.0.41.{number}', self._port)

    async def run(self, duration_s: float) -> None:
        """Run the members' periodic work for a number of seconds."""
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            for member in tuple(self.members.values()):
                member.tick(time.monotonic())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def run_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Run until a condition holds; return whether it did in time."""
        deadline = time.monotonic() + timeout_s
        while not condition() and time.monotonic() < deadline:
            await self.run(TICK_INTERVAL_S)
        return condition()

    def close(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            server.close()

    def _deliver_datagram(
        self,
        sender: SocketAddress,
        raw: bytes,
        recipient: SocketAddress,
    ) -> None:
        member = self.members.get(recipient)
        if member is None or frozenset((sender, recipient)) in self.partitioned:
            return
        message: Any = decode_datagram(raw)
        now = time.monotonic()
        if isinstance(message, DaemonStatus):
            member.gossip.on_status(now, message, sender)
        elif isinstance(message, ChangeNotice) and not self.drop_notices:
            member.gossip.on_notice(now, message, sender)


def _return_no_load() -> None:
    """Return None, as a balancer has no load to report."""


def _ignore_view_change(_now: float) -> None:
    """Ignore a changed view."""
