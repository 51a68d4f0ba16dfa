"""Whole services in memory, measured while they are quiet and while not."""

import asyncio
import time
from collections.abc import Callable

from attrs import frozen

from dragonflyshift._internal.membership import ProbeParameters
from dragonflyshift._internal.membership.table import SUSPICION_TIMEOUT_S
from dragonflyshift._internal.models import MemberState
from tests.lib.mesh import Mesh, Node

MESH_SIZES = (7, 50, 200)
WARM_UP_S = 1.0
QUIET_S = 4.0
WAIT_LIMIT_S = 8.0
POLL_S = 0.01


@frozen
class QuietCost:
    """What one member of a quiet service sends, on average.

    Bytes include the headers of IPv4 and UDP; a member receives as much.
    """

    members: int
    messages_a_second: float
    bytes_a_second: float
    busiest_bytes_a_second: float


@frozen
class ChangeCost:
    """How a member's word that it leaves reaches all others."""

    members: int
    seconds_to_all: float
    extra_bytes_a_member: float


@frozen
class DeathCost:
    """How long a member is believed to live after it fell silent."""

    members: int
    seconds_to_first_suspicion: float
    seconds_to_all: float


@frozen
class MeshCost:
    """What one running service showed."""

    quiet: QuietCost
    change: ChangeCost
    death: DeathCost


async def _settled(size: int, seed: int) -> Mesh:
    """Return a running service whose members know each other."""
    mesh = Mesh(
        size,
        parameters=ProbeParameters(),
        seed=seed,
        suspicion_timeout=SUSPICION_TIMEOUT_S,
    )
    records = [node.record for node in mesh.nodes]
    for node in mesh.nodes:
        node.table.merge(records, 0)
        node.start()
    await asyncio.sleep(WARM_UP_S)
    return mesh


async def _quiet(mesh: Mesh) -> QuietCost:
    sent = [(node.sent_messages, node.sent_bytes) for node in mesh.nodes]
    await asyncio.sleep(QUIET_S)
    spent = [
        (node.sent_messages - messages, node.sent_bytes - size)
        for node, (messages, size) in zip(mesh.nodes, sent, strict=True)
    ]
    members = len(mesh.nodes)
    return QuietCost(
        members=members,
        messages_a_second=sum(row[0] for row in spent) / members / QUIET_S,
        bytes_a_second=sum(row[1] for row in spent) / members / QUIET_S,
        busiest_bytes_a_second=max(row[1] for row in spent) / QUIET_S,
    )


async def _seconds_until(condition: Callable[[], bool]) -> float:
    started = time.monotonic()
    while True:
        seconds = time.monotonic() - started
        if condition() or seconds > WAIT_LIMIT_S:
            return seconds
        await asyncio.sleep(POLL_S)


def _believed(mesh: Mesh, subject: Node) -> set[MemberState]:
    return {
        node.table.state_of(subject.address)
        for node in mesh.nodes
        if node is not subject
    }


async def _change(mesh: Mesh, quiet: QuietCost) -> ChangeCost:
    leaver = mesh.nodes[0]
    before = sum(node.sent_bytes for node in mesh.nodes)
    leaver.table.set_own_state(MemberState.LEAVING)
    seconds = await _seconds_until(
        lambda: _believed(mesh, leaver) == {MemberState.LEAVING},
    )
    sent = sum(node.sent_bytes for node in mesh.nodes) - before
    extra = sent / len(mesh.nodes) - quiet.bytes_a_second * seconds
    return ChangeCost(len(mesh.nodes), seconds, max(extra, 0))


async def _death(mesh: Mesh) -> DeathCost:
    victim = mesh.nodes[1]
    await victim.stop()
    first = await _seconds_until(
        lambda: MemberState.SUSPECT in _believed(mesh, victim),
    )
    rest = await _seconds_until(
        lambda: _believed(mesh, victim) == {MemberState.DEAD},
    )
    return DeathCost(len(mesh.nodes), first, first + rest)


async def _measure_mesh(size: int, seed: int) -> MeshCost:
    mesh = await _settled(size, seed)
    quiet = await _quiet(mesh)
    change = await _change(mesh, quiet)
    death = await _death(mesh)
    await asyncio.gather(*(node.stop() for node in mesh.nodes))
    return MeshCost(quiet, change, death)


async def measure_meshes(seed: int) -> list[MeshCost]:
    """Measure services of several sizes side by side."""
    return await asyncio.gather(
        *(_measure_mesh(size, seed) for size in MESH_SIZES),
    )
