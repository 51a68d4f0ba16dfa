"""Fleet members in one process: datagrams in memory, pulls over loopback."""

import asyncio
import random
import time
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
from tests.lib.carried_stage import free_port

STEP_SECONDS = 0.05


@define(eq=False)
class FleetStage:
    """Members by address; ``cut`` pairs reach each other by no datagram."""

    members: dict[SocketAddress, FleetMember] = field(factory=dict)
    cut: set[frozenset[SocketAddress]] = field(factory=set)
    lose_notices: bool = field(default=False)
    _servers: list[asyncio.Server] = field(factory=list)
    _port: int = field(factory=free_port)

    async def add(self, number: int, *, is_balancer: bool) -> FleetMember:
        """Add a member that looks for the first one."""
        own = self.pair(number)
        settings = NodeSettings(
            name=f'daemon-{number}',
            data_center=DATA_CENTER,
            regions={DATA_CENTER: 'selangor'},
            peers=own,
            readiness=own,
            client_port=1,
            seeds=() if number == 1 else (self.pair(1),),
        )
        callbacks = MemberCallbacks(
            lambda raw, target: self._deliver(own, raw, target),
            _no_load,
            _ignore,
        )
        member = FleetMember(
            settings,
            callbacks,
            None,
            random.Random(number),
            is_balancer=is_balancer,
        )
        self.members[own] = member
        handler = ViewServer(member.view).handle
        self._servers.append(await asyncio.start_server(handler, *own))
        return member

    def pair(self, number: int) -> SocketAddress:
        """Return a member's address."""
        return (f'127.0.41.{number}', self._port)

    async def run(self, seconds: float) -> None:
        """Let the members talk."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for member in tuple(self.members.values()):
                member.tick(time.monotonic())
            await asyncio.sleep(STEP_SECONDS)

    def close(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            server.close()

    def _deliver(
        self, sender: SocketAddress, raw: bytes, target: SocketAddress
    ) -> None:
        member = self.members.get(target)
        if member is None or frozenset((sender, target)) in self.cut:
            return
        message: Any = decode_datagram(raw)
        now = time.monotonic()
        if isinstance(message, DaemonStatus):
            member.gossip.on_status(now, message, sender)
        elif isinstance(message, ChangeNotice) and not self.lose_notices:
            member.gossip.on_notice(now, message, sender)


def _no_load() -> None:
    """Return no load, as a balancer does."""


def _ignore(_now: float) -> None:
    """Take no note of a change."""
