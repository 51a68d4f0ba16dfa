"""Measure in-memory services at rest, during a change and a failure."""

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
    """Average traffic that a member sends while nothing changes.

    Bytes include IPv4 and UDP headers; a member receives as much.
    """

    members: int
    messages_a_second: float
    bytes_a_second: float
    busiest_bytes_a_second: float


@frozen
class ChangeCost:
    """Time and traffic until all members see that one is leaving."""

    members: int
    seconds_to_all: float
    extra_bytes_a_member: float


@frozen
class DeathCost:
    """Time until the failure of a member is detected.

    ``seconds_to_all`` ends when all other members consider it dead.
    """

    members: int
    seconds_to_first_suspicion: float
    seconds_to_all: float


@frozen
class MeshCost:
    """Results of one running service."""

    quiet: QuietCost
    change: ChangeCost
    death: DeathCost


async def _start_mesh(size: int, seed: int) -> Mesh:
    """Return a running service whose members hold all member records."""
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


async def _measure_quiet(mesh: Mesh) -> QuietCost:
    sent = [(node.sent_messages, node.sent_bytes) for node in mesh.nodes]
    await asyncio.sleep(QUIET_S)
    traffic = [
        (node.sent_messages - messages, node.sent_bytes - size)
        for node, (messages, size) in zip(mesh.nodes, sent, strict=True)
    ]
    members = len(mesh.nodes)
    return QuietCost(
        members=members,
        messages_a_second=sum(row[0] for row in traffic) / members / QUIET_S,
        bytes_a_second=sum(row[1] for row in traffic) / members / QUIET_S,
        busiest_bytes_a_second=max(row[1] for row in traffic) / QUIET_S,
    )


async def _seconds_until(condition: Callable[[], bool]) -> float:
    started = time.monotonic()
    while True:
        seconds = time.monotonic() - started
        if condition() or seconds > WAIT_LIMIT_S:
            return seconds
        await asyncio.sleep(POLL_S)


def _observed_states(mesh: Mesh, subject: Node) -> set[MemberState]:
    return {
        node.table.state_of(subject.address)
        for node in mesh.nodes
        if node is not subject
    }


async def _measure_change(mesh: Mesh, quiet: QuietCost) -> ChangeCost:
    leaving_node = mesh.nodes[0]
    before = sum(node.sent_bytes for node in mesh.nodes)
    leaving_node.table.set_own_state(MemberState.LEAVING)
    seconds = await _seconds_until(
        lambda: _observed_states(mesh, leaving_node) == {MemberState.LEAVING},
    )
    sent = sum(node.sent_bytes for node in mesh.nodes) - before
    extra = sent / len(mesh.nodes) - quiet.bytes_a_second * seconds
    return ChangeCost(len(mesh.nodes), seconds, max(extra, 0))


async def _measure_death(mesh: Mesh) -> DeathCost:
    failed_node = mesh.nodes[1]
    await failed_node.stop()
    until_first = await _seconds_until(
        lambda: MemberState.SUSPECT in _observed_states(mesh, failed_node),
    )
    first_to_all = await _seconds_until(
        lambda: _observed_states(mesh, failed_node) == {MemberState.DEAD},
    )
    return DeathCost(len(mesh.nodes), until_first, until_first + first_to_all)


async def _measure_mesh(size: int, seed: int) -> MeshCost:
    mesh = await _start_mesh(size, seed)
    quiet = await _measure_quiet(mesh)
    change = await _measure_change(mesh, quiet)
    death = await _measure_death(mesh)
    await asyncio.gather(*(node.stop() for node in mesh.nodes))
    return MeshCost(quiet, change, death)


async def measure_meshes(seed: int) -> list[MeshCost]:
    """Measure services of several sizes concurrently."""
    return await asyncio.gather(
        *(_measure_mesh(size, seed) for size in MESH_SIZES),
    )
