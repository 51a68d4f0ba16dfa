"""Real fleet members on a virtual clock, before a store with cuts and delays.

Shows how long a change takes to be in force at all members that reach the
store, and how many calls the members make. By hand:
``python -m tests.lib.refresh_replay``.
"""

import asyncio
import logging
import random
import selectors
import sys
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from attrs import define, evolve, field

from dragonflyshift._internal.carried.fleet.exchange import (
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.member import (
    FleetMember,
    MemberCallbacks,
)
from dragonflyshift._internal.carried.fleet.reader import ViewSource
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.carried.messages import (
    ChangeNotice,
    DaemonStatus,
    decode_datagram,
)
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.exceptions import PeerError, PlatformError
from dragonflyshift.platform.store import (
    READ_TIMEOUT_S,
    WATCH_TIMEOUT_MARGIN_S,
)
from tests.lib.carried import DATA_CENTER, build_record, build_routes

TICK_S = 0.1
NETWORK_S = 0.002


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        """Start at zero."""
        self._virtual_now: float = 0
        super().__init__(_VirtualSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Move the clock."""
        self._virtual_now += seconds


class _VirtualSelector(selectors.DefaultSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time pass instead of waiting."""
        if timeout is None:
            raise RuntimeError('nothing is left to wait for')
        self._loop.advance(timeout)
        return super().select(0)


def run_virtually(work: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function on a virtual clock of its own."""
    loop = VirtualLoop()
    with mock.patch('time.monotonic', loop.time):
        try:
            loop.run_until_complete(work())
        finally:
            _close(loop)


def _close(loop: VirtualLoop) -> None:
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@define(eq=False)
class ReplayStore:
    """The state of a store, and who reaches it.

    ``latency_s`` is the time of an answer. ``cut`` holds the members that get
    none, ``refused`` those that get an error at once; with ``is_down`` nobody
    gets an answer.
    """

    latency_s: float = 0.004
    is_down: bool = False
    cut: set[int] = field(factory=set)
    refused: set[int] = field(factory=set)
    calls: list[tuple[float, int]] = field(factory=list)
    revision: int = 5
    version: int = 1
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def change(self) -> int:
        """Publish another configuration; return its version."""
        self.revision += 1
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def state(self, base: int) -> ViewUpdate:
        """Return the configuration, and the endpoints of a full read."""
        records = () if base else tuple(map(build_record, (1, 2, 3)))
        routes = evolve(build_routes(), version=self.version)
        return ViewUpdate(base, self.revision, records, routes=routes)

    async def answer(self, member: int, after: int, wait_s: float) -> bool:
        """Wait for a change; return whether the member gets an answer."""
        loop = asyncio.get_running_loop()
        self.calls.append((loop.time(), member))
        if member in self.refused:
            raise PlatformError('refused')
        deadline = loop.time() + wait_s
        while self.revision <= after and loop.time() < deadline:
            try:
                async with asyncio.timeout(deadline - loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                break
        await asyncio.sleep(self.latency_s)
        return not self.is_down and member not in self.cut


@define(eq=False)
class _MemberSource(ViewSource):
    store: ReplayStore
    member: int

    async def read_all(self) -> ViewUpdate:
        return await self._call(0, 0, READ_TIMEOUT_S)

    async def wait(self, after: int, wait_s: float) -> ViewUpdate:
        timeout_s = max(READ_TIMEOUT_S, wait_s + WATCH_TIMEOUT_MARGIN_S)
        return await self._call(after, wait_s, timeout_s)

    def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _call(
        self, after: int, wait_s: float, timeout_s: float
    ) -> ViewUpdate:
        try:
            async with asyncio.timeout(timeout_s):
                if not await self.store.answer(self.member, after, wait_s):
                    await asyncio.sleep(timeout_s)
        except TimeoutError as exc:
            raise PlatformError('no answer') from exc
        return self.store.state(after)


@define(eq=False)
class ReplayFleet:
    """Balancers that read the store for each other.

    ``in_force`` maps versions to the times at which members had them,
    ``datagrams`` counts what they sent. Each datagram is lost with the
    probability ``loss``. ``bound_s`` is the bound for a change.
    """

    store: ReplayStore
    rng: random.Random
    bound_s: float = 3.0
    loss: float = 0
    members: list[FleetMember] = field(factory=list)
    in_force: dict[int, dict[int, float]] = field(factory=dict)
    datagrams: int = 0
    # Members that stand still; what they would receive waits.
    frozen: set[int] = field(factory=set)
    _tasks: list[asyncio.Task[None]] = field(factory=list)

    def start(self, count: int) -> None:
        """Start members within 0.3 s of each other."""
        for number in range(count):
            self._add(number)

    async def restart(self, number: int) -> None:
        """End a member and start it again without a view."""
        self._tasks[number].cancel()
        self.members[number] = self._build(number)
        self._tasks[number] = asyncio.create_task(self._run(number))

    def readers(self) -> list[int]:
        """Return the members that read the store."""
        return [
            number
            for number, member in enumerate(self.members)
            if member.reader is not None and member.reader.is_reading
        ]

    def address(self, number: int) -> SocketAddress:
        """Return a member's address."""
        return (f'10.{number // 65536}.{number // 256 % 256}.{number % 256}', 1)

    def _add(self, number: int) -> None:
        self.members.append(self._build(number))
        self._tasks.append(asyncio.create_task(self._run(number)))

    def _build(self, number: int) -> FleetMember:
        own = self.address(number)
        settings = NodeSettings(
            name=f'daemon-{number}',
            data_center=DATA_CENTER,
            regions={DATA_CENTER: 'selangor'},
            peers=own,
            readiness=own,
            client_port=1,
            seeds=tuple(self.address(seed) for seed in range(3)),
            change_bound_s=self.bound_s,
        )
        callbacks = MemberCallbacks(
            lambda raw, recipient: self._send(number, raw, recipient),
            _no_load,
            lambda now: self._on_changed(number, now),
        )
        member = FleetMember(
            settings,
            callbacks,
            _MemberSource(self.store, number),
            random.Random(self.rng.random()),
            is_balancer=True,
        )
        member.view.clock = asyncio.get_running_loop().time
        return member

    async def _run(self, number: int) -> None:
        member = self.members[number]
        await asyncio.sleep(self.rng.random() * 0.3)
        assert member.reader is not None
        loop = asyncio.get_running_loop()
        reading = loop.create_task(member.reader.run())
        member.gossip.request_statuses(loop.time())
        try:
            while True:
                member.tick(loop.time())
                await asyncio.sleep(TICK_S)
        finally:
            reading.cancel()

    def _send(self, sender: int, raw: bytes, recipient: SocketAddress) -> None:
        self.datagrams += 1
        if self.rng.random() < self.loss:
            return
        octets = [int(part) for part in recipient[0].split('.')]
        number = octets[1] * 65536 + octets[2] * 256 + octets[3]
        if number < len(self.members):
            asyncio.get_running_loop().call_later(
                NETWORK_S, self._deliver, sender, raw, number
            )

    def _deliver(self, sender: int, raw: bytes, number: int) -> None:
        now = asyncio.get_running_loop().time()
        message = decode_datagram(raw)
        gossip = self.members[number].gossip
        if isinstance(message, DaemonStatus):
            gossip.on_status(now, message, self.address(sender))
        elif isinstance(message, ChangeNotice):
            gossip.on_notice(now, message, self.address(sender))

    def _on_changed(self, number: int, now: float) -> None:
        version = self.members[number].view.routes.version
        times = self.in_force.setdefault(version, {})
        times.setdefault(number, now)

    async def pull(
        self, peer: SocketAddress, base: int, version: int
    ) -> ViewUpdate:
        """Return a member's view after two round trips."""
        await asyncio.sleep(4 * NETWORK_S)
        octets = [int(part) for part in peer[0].split('.')]
        number = octets[1] * 65536 + octets[2] * 256 + octets[3]
        if number >= len(self.members):
            raise PeerError('no such member')
        view = self.members[number].view
        return decode_update(encode_update(view, base, version))


def _no_load() -> None:
    """Return None, as a balancer has no load to report."""


def replay(
    count: int,
    seed: int,
    scenario: Callable[[ReplayFleet], Awaitable[None]],
    *,
    bound_s: float = 3.0,
    loss: float = 0,
) -> ReplayFleet:
    """Run a scenario with a fleet that has settled for ten seconds."""
    fleets: list[ReplayFleet] = []

    async def work() -> None:
        fleet = ReplayFleet(
            ReplayStore(), random.Random(seed), bound_s, loss=loss
        )
        fleets.append(fleet)
        with mock.patch(
            'dragonflyshift._internal.carried.fleet.puller.pull_view',
            fleet.pull,
        ):
            fleet.start(count)
            await asyncio.sleep(10)
            await scenario(fleet)

    run_virtually(work)
    return fleets[0]


def last_in_force(fleet: ReplayFleet, version: int, members: set[int]) -> float:
    """Return when the last of some members had a version, or later.

    Infinite if one never had it.
    """
    times = []
    for number in members:
        seen = [
            at[number]
            for later, at in fleet.in_force.items()
            if later >= version and number in at
        ]
        times.append(min(seen, default=float('inf')))
    return max(times)


async def _calm(_fleet: ReplayFleet) -> None:
    await asyncio.sleep(20)


async def _slow(fleet: ReplayFleet) -> None:
    fleet.store.latency_s = 0.24
    await asyncio.sleep(20)


async def _very_slow(fleet: ReplayFleet) -> None:
    fleet.store.latency_s = 0.6
    await asyncio.sleep(20)


async def _down(fleet: ReplayFleet) -> None:
    fleet.store.is_down = True
    await asyncio.sleep(20)


async def _readers_cut(fleet: ReplayFleet) -> None:
    fleet.store.cut.update(fleet.readers())
    await asyncio.sleep(20)


async def _storm(fleet: ReplayFleet) -> None:
    for _ in range(100):
        fleet.store.change()
        await asyncio.sleep(0.2)


_SCENARIOS = (_calm, _storm, _readers_cut, _slow, _very_slow, _down)


def main() -> None:
    """Print calls and messages of each scenario at some sizes."""
    logging.disable()
    for count in map(int, sys.argv[1:] or ('10', '100')):
        for scenario in _SCENARIOS:
            _print_calls(count, scenario)


def _print_calls(
    count: int, scenario: Callable[[ReplayFleet], Awaitable[None]]
) -> None:
    fleet = replay(count, 1, scenario)
    seconds = [int(at) for at, _member in fleet.store.calls if at >= 10]
    busiest = max(map(seconds.count, set(seconds)))
    name = scenario.__name__.strip('_')
    print(
        f'{count:4} {name:12} {len(seconds) / 20:8.2f} calls/s',
        f'busiest second {busiest}',
        f'{fleet.datagrams / 30 / count:6.1f} datagrams/s a member',
        flush=True,
    )


if __name__ == '__main__':
    main()
