"""Probers that talk in memory, with loss, cuts and freezes at will."""

import asyncio
import random
import time
from collections.abc import Sequence

from dragonflyshift._internal.membership import (
    MemberTable,
    Prober,
    ProbeTimes,
)
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.datagram import HEADER_BYTES, Kind
from tests.lib.members import build_member

UDP_BYTES = 28
FAST_SUSPICION_S = 0.3
FAST = ProbeTimes(
    turn=0.05,
    direct=0.03,
    indirect=0.06,
    announcement_gap=0.02,
)


class Node:
    """One member: its table, its prober and the count of its bytes."""

    def __init__(self, mesh: 'Mesh', number: int) -> None:
        """Stand still until ``start`` is called."""
        self.record = build_member(number)
        self.address = self.record.address
        self.table = MemberTable(self.record, mesh.suspicion)
        self.version = 1
        self.pulls: list[tuple[Address, int]] = []
        self.sent_bytes = 0
        self.sent_messages = 0
        self.frozen = False
        self._mesh = mesh
        self._task: asyncio.Task[None] | None = None
        self.prober = Prober(
            self.table,
            mesh.addresses,
            self._send,
            random.Random(number),
            tag=mesh.tag,
            version=lambda: self.version,
            on_version=lambda peer, version: self.pulls.append((peer, version)),
            times=mesh.times,
        )

    def start(self) -> None:
        """Begin to probe."""
        self._task = asyncio.create_task(self.prober.run())

    async def stop(self) -> None:
        """Die at once, without a word."""
        self.frozen = True
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _send(self, target: Address, kind: Kind, body: bytes) -> None:
        self.sent_messages += 1
        self.sent_bytes += UDP_BYTES + HEADER_BYTES + len(body)
        self._mesh.carry(self.address, target, kind, body)


class Mesh:
    """All nodes of one service and the links between them."""

    def __init__(
        self,
        size: int,
        times: ProbeTimes = FAST,
        loss: float = 0,
        seed: int = 1,
        suspicion: float = FAST_SUSPICION_S,
    ) -> None:
        """Build nodes numbered from 1."""
        self.tag = 7
        self.times = times
        self.loss = loss
        self.suspicion = suspicion
        self.cut: set[tuple[Address, Address]] = set()
        self._rng = random.Random(seed)
        self.nodes = [Node(self, number + 1) for number in range(size)]
        self._by_address = {node.address: node for node in self.nodes}

    def addresses(self) -> Sequence[Address]:
        """Return what the configuration names."""
        return tuple(self._by_address)

    def partition(self, left: Sequence[Node], right: Sequence[Node]) -> None:
        """Cut all links between two groups."""
        for one in left:
            for other in right:
                self.cut.add((one.address, other.address))
                self.cut.add((other.address, one.address))

    def carry(
        self,
        source: Address,
        target: Address,
        kind: Kind,
        body: bytes,
    ) -> None:
        """Deliver a message soon, unless it is lost."""
        lost = self._rng.random() < self.loss or (source, target) in self.cut
        node = self._by_address.get(target)
        if lost or node is None or node.frozen:
            return
        asyncio.get_running_loop().call_soon(
            node.prober.handle,
            kind,
            body,
            source,
            time.monotonic(),
        )

    def agreed(self) -> bool:
        """Tell whether all live nodes hold the same view."""
        views = {node.table.hash for node in self.nodes if not node.frozen}
        return len(views) == 1
