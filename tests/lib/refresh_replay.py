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
from collections.abc import Awaitable, Callable, Iterable
from typing import Any
from unittest import mock

from attrs import define, field

from dragonflyshift._internal.carried.fleet.exchange import (
    PULL_TIMEOUT_S,
    decode_update,
    encode_update,
)
from dragonflyshift._internal.carried.fleet.member import (
    FleetMember,
    MemberCallbacks,
)
from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.carried.messages import (
    ChangeNotice,
    DaemonStatus,
    decode_datagram,
)
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.exceptions import PeerError
from tests.lib.build_before import downgrade
from tests.lib.carried import DATA_CENTER, build_record
from tests.lib.replay_store import MemberSource, ReplayStore

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
    # Members without power.
    off: set[int] = field(factory=set)
    # Members whose views can't be pulled.
    unpullable: set[int] = field(factory=set)
    # Members that a scenario disturbs, of which no bound is asked.
    disturbed: set[int] = field(factory=set)
    # Pairs of sender and recipient between which no datagram arrives.
    blocked: set[tuple[int, int]] = field(factory=set)
    # Members that are sidecars, and those that run the build before.
    sidecars: frozenset[int] = frozenset()
    before: set[int] = field(factory=set)
    # Datagrams for members that are frozen.
    _waiting: list[tuple[int, bytes, int]] = field(factory=list)
    _tasks: list[asyncio.Task[None]] = field(factory=list)

    def start(self, count: int) -> None:
        """Start members within 0.3 s of each other."""
        for number in range(count):
            self._add(number)

    async def restart(self, number: int) -> None:
        """End a member and start it again without a view."""
        self._tasks[number].cancel()
        self.off.discard(number)
        self.members[number] = self._build(number)
        self._tasks[number] = asyncio.create_task(self._run(number))

    def lose_power(self, numbers: Iterable[int]) -> None:
        """End members at once; they answer nothing until a restart."""
        for number in numbers:
            self.off.add(number)
            self.disturbed.add(number)
            self._tasks[number].cancel()

    def freeze(self, numbers: Iterable[int]) -> None:
        """Stop members; what they would receive waits."""
        self.store.frozen.update(numbers)

    async def thaw(self, paused_s: float) -> None:
        """Resume the members that were stopped for ``paused_s`` seconds."""
        now = asyncio.get_running_loop().time()
        thawed = set(self.store.frozen)
        self.store.thaw()
        for number in thawed:
            self.members[number].on_pause(now, paused_s)
        waiting = self._waiting.copy()
        self._waiting.clear()
        for sender, raw, number in waiting:
            self._deliver(sender, raw, number)

    def survivors(self) -> set[int]:
        """Return the members that have power."""
        return set(range(len(self.members))) - self.off

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
            MemberSource(self.store, number),
            random.Random(self.rng.random()),
            is_balancer=number not in self.sidecars,
        )
        member.view.clock = asyncio.get_running_loop().time
        if number in self.before:
            downgrade(member)
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
                if number not in self.store.frozen:
                    member.tick(loop.time())
                await asyncio.sleep(TICK_S)
        finally:
            reading.cancel()

    def _send(self, sender: int, raw: bytes, recipient: SocketAddress) -> None:
        if sender in self.off:
            return
        self.datagrams += 1
        number = self._number(recipient)
        is_lost = self.rng.random() < self.loss
        if not is_lost and number < len(self.members):
            asyncio.get_running_loop().call_later(
                NETWORK_S, self._deliver, sender, raw, number
            )

    def _deliver(self, sender: int, raw: bytes, number: int) -> None:
        if number in self.off or (sender, number) in self.blocked:
            return
        if number in self.store.frozen:
            self._waiting.append((sender, raw, number))
            return
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
        number = self._number(peer)
        if number >= len(self.members):
            raise PeerError('no such member')
        if number in self.off | self.store.frozen | self.unpullable:
            await asyncio.sleep(PULL_TIMEOUT_S)
            raise PeerError('no answer')
        view = self.members[number].view
        return decode_update(encode_update(view, base, version))

    def _number(self, address: SocketAddress) -> int:
        octets = [int(part) for part in address[0].split('.')]
        return octets[1] * 65536 + octets[2] * 256 + octets[3]


def _no_load() -> None:
    """Return None, as a balancer has no load to report."""


def replay(
    count: int,
    seed: int,
    scenario: Callable[[ReplayFleet], Awaitable[None]],
    *,
    bound_s: float = 3.0,
    loss: float = 0,
    sidecars: int = 0,
    before: Iterable[int] = (),
) -> ReplayFleet:
    """Run a scenario with a fleet that has settled for ten seconds.

    The last members are sidecars, those in ``before`` run the build before.
    """
    fleets: list[ReplayFleet] = []

    async def work() -> None:
        fleet = ReplayFleet(
            ReplayStore(), random.Random(seed), bound_s, loss=loss
        )
        fleet.before.update(before)
        fleet.sidecars = frozenset(range(count - sidecars, count))
        for number in fleet.sidecars:
            host = fleet.address(number)[0]
            fleet.store.put(build_record(number, host=host))
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
