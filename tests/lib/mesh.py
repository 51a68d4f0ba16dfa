"""Probers that are connected in memory, with simulated failures.

Messages can be lost, links can be blocked and nodes can be frozen.
"""

import asyncio
import random
import time
from collections.abc import Sequence

from dragonflyshift._internal.membership import (
    MemberTable,
    ProbeParameters,
    Prober,
)
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.datagram import HEADER_BYTES, DatagramKind
from tests.lib.members import build_member

UDP_BYTES = 28
FAST_SUSPICION_TIMEOUT_S = 0.3
FAST_PARAMETERS = ProbeParameters(
    period=0.05,
    direct_timeout=0.03,
    indirect_timeout=0.06,
    announcement_interval=0.02,
)


class Node:
    """One member with its table, its prober and traffic counters."""

    def __init__(self, mesh: 'Mesh', number: int) -> None:
        """Create a node that doesn't probe until ``start`` is called."""
        self.record = build_member(number)
        self.address = self.record.address
        self.table = MemberTable(self.record, mesh.suspicion_timeout)
        self.version = 1
        self.reported_versions: list[tuple[Address, int]] = []
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
            on_version=lambda peer, version: self.reported_versions.append(
                (peer, version)
            ),
            parameters=mesh.parameters,
        )

    def start(self) -> None:
        """Start to probe."""
        self._task = asyncio.create_task(self.prober.run())

    async def stop(self) -> None:
        """Stop immediately without notice to the other nodes."""
        self.frozen = True
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _send(self, target: Address, kind: DatagramKind, body: bytes) -> None:
        self.sent_messages += 1
        self.sent_bytes += UDP_BYTES + HEADER_BYTES + len(body)
        self._mesh.deliver(self.address, target, kind, body)


class Mesh:
    """The nodes of one service and the links between them."""

    def __init__(
        self,
        size: int,
        parameters: ProbeParameters = FAST_PARAMETERS,
        loss: float = 0,
        seed: int = 1,
        suspicion_timeout: float = FAST_SUSPICION_TIMEOUT_S,
    ) -> None:
        """Create ``size`` nodes, numbered from 1."""
        self.tag = 7
        self.parameters = parameters
        self.loss = loss
        self.suspicion_timeout = suspicion_timeout
        self.blocked_links: set[tuple[Address, Address]] = set()
        self._rng = random.Random(seed)
        self.nodes = [Node(self, number + 1) for number in range(size)]
        self._by_address = {node.address: node for node in self.nodes}

    def addresses(self) -> Sequence[Address]:
        """Return the addresses of the configured members."""
        return tuple(self._by_address)

    def partition(self, left: Sequence[Node], right: Sequence[Node]) -> None:
        """Block all links between two groups of nodes."""
        for left_node in left:
            for right_node in right:
                self.blocked_links.add((left_node.address, right_node.address))
                self.blocked_links.add((right_node.address, left_node.address))

    def deliver(
        self,
        source: Address,
        target: Address,
        kind: DatagramKind,
        body: bytes,
    ) -> None:
        """Schedule the delivery of a message, unless it is lost."""
        is_dropped = (
            self._rng.random() < self.loss
            or (source, target) in self.blocked_links
        )
        node = self._by_address.get(target)
        if is_dropped or node is None or node.frozen:
            return
        asyncio.get_running_loop().call_soon(
            node.prober.handle,
            kind,
            body,
            source,
            time.monotonic(),
        )

    def views_agree(self) -> bool:
        """Return whether all live nodes have the same view."""
        views = {node.table.hash for node in self.nodes if not node.frozen}
        return len(views) == 1
