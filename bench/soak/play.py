"""One seed of the soak: load, a series of faults, then the promises."""

__all__ = ('SoakResult', 'play_seed')

import asyncio
import json
import random
import signal
from pathlib import Path

from attrs import define, field, frozen

from bench.soak.backend import Violations
from bench.soak.clients import SoakClients
from bench.soak.fleet import SERVICES, SoakFleet
from bench.soak.proxy import Mode

USERS = 8
WARM_UP_S = 2.0
# The store's entries, the view and the rotation settle within it.
QUIET_S = 4.0
MEASURED_S = 2.0
MIN_SHARE_ANSWERED = 0.9
MAX_GAP_S = 0.9
MIN_LASTING_S = 0.2
MAX_LASTING_S = 2.5


@frozen
class SoakResult:
    """What a seed saw."""

    seed: int
    answered: int
    failed: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


@define(eq=False)
class _Faults:
    """Draw and play faults; what lasts overlaps with what follows."""

    fleet: SoakFleet
    rng: random.Random
    played: list[str] = field(factory=list)
    _lasting: list[asyncio.Task[None]] = field(factory=list)
    # Daemons and servers that a fault holds already.
    _held: set[str] = field(factory=set)

    async def play(self, seconds: float) -> None:
        """Begin faults for so long, then let them all end."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        kinds = (
            self._kill,
            self._pause,
            self._terminate,
            self._crash_backend,
            self._harm_store,
            self._configure,
        )
        while loop.time() < ends_at:
            lasting = self.rng.uniform(MIN_LASTING_S, MAX_LASTING_S)
            begin = self.rng.choice(kinds)
            self._lasting.append(loop.create_task(begin(lasting)))
            await asyncio.sleep(self.rng.uniform(0, MAX_GAP_S))
        await asyncio.gather(*self._lasting)
        self.fleet.proxy.behave(Mode.PASS)

    def _take(self, names: list[str], what: str) -> str | None:
        free = sorted(set(names) - self._held)
        if not free:
            return None
        name = self.rng.choice(free)
        self._held.add(name)
        self.played.append(f'{what} {name}')
        return name

    def _daemons(self) -> list[str]:
        return self.fleet.balancers() + self.fleet.sidecars()

    async def _kill(self, lasting: float) -> None:
        name = self._take(self._daemons(), 'kill')
        if name is None:
            return
        await self.fleet.stop(name, signal.SIGKILL)
        await asyncio.sleep(lasting)
        await self.fleet.run(name)
        self._held.discard(name)

    async def _pause(self, lasting: float) -> None:
        name = self._take(self._daemons(), 'pause')
        if name is None:
            return
        self.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(lasting)
        self.fleet.signal(name, signal.SIGCONT)
        self._held.discard(name)

    async def _terminate(self, _lasting: float) -> None:
        name = self._take(self._daemons(), 'terminate')
        if name is None:
            return
        await self.fleet.stop(name, signal.SIGTERM)
        await self.fleet.run(name)
        self._held.discard(name)

    async def _crash_backend(self, lasting: float) -> None:
        name = self._take(
            [f'server of {item}' for item in self.fleet.sidecars()],
            'crash',
        )
        if name is None:
            return
        backend = next(
            item for item in self.fleet.backends if name.endswith(item.name)
        )
        backend.crash()
        await asyncio.sleep(lasting)
        await backend.start()
        self.fleet.register(backend)
        self._held.discard(name)

    async def _harm_store(self, lasting: float) -> None:
        mode = self.rng.choice(tuple(Mode))
        self.played.append(f'store {mode.value}')
        self.fleet.proxy.behave(mode)
        await asyncio.sleep(lasting)
        self.fleet.proxy.behave(Mode.PASS)

    async def _configure(self, _lasting: float) -> None:
        name = self.rng.choice(self._daemons())
        self.played.append(f'new version, reload of {name}')
        self.fleet.publish()
        if name not in self._held:
            self.fleet.signal(name, signal.SIGHUP)


async def play_seed(seed: int, seconds: float, folder: Path) -> SoakResult:
    """Play one seed; ``seconds`` is the time in which faults begin."""
    rng = random.Random(seed)
    violations = Violations()
    fleet = SoakFleet(folder, violations)
    tasks: list[asyncio.Task[None]] = []
    faults = _Faults(fleet, rng)
    try:
        await fleet.start()
        clients = SoakClients(
            (f'127.0.{fleet.net + 2}.1', fleet.ports['packets']),
            tuple(SERVICES.values()),
            fleet.ready,
            fleet.backends,
            random.Random(seed + 1),
            violations,
        )
        clients.start()
        tasks = [
            asyncio.create_task(fleet.probe()),
            asyncio.create_task(fleet.supervise()),
        ]
        tasks += [asyncio.create_task(clients.user()) for _ in range(USERS)]
        await asyncio.sleep(WARM_UP_S)
        await faults.play(seconds)
        await asyncio.sleep(QUIET_S)
        _check_recovery(clients, violations, await _measure())
        _check_versions(fleet, violations)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close()
    clients.close()
    return SoakResult(
        seed,
        len(clients.answered),
        len(clients.failed),
        tuple(faults.played),
        tuple(violations.lines),
    )


async def _measure() -> float:
    """Let the last window pass and return when it began."""
    began = asyncio.get_running_loop().time()
    await asyncio.sleep(MEASURED_S)
    return began


def _check_recovery(
    clients: SoakClients,
    violations: Violations,
    since: float,
) -> None:
    answered = sum(at >= since for at in clients.answered)
    failed = sum(at >= since for at in clients.failed)
    if answered < MIN_SHARE_ANSWERED * max(1, answered + failed):
        violations.add(
            f'after the faults {answered} answered, {failed} failed',
        )


def _check_versions(fleet: SoakFleet, violations: Violations) -> None:
    """Read the logs: versions rise within a process, and all have the last."""
    for name, logs in fleet.logs.items():
        versions: list[int] = []
        for log in logs:
            versions = _versions(log)
            if versions != sorted(set(versions)):
                violations.add(f'{name} went back: versions {versions}')
        if fleet.version not in versions:
            violations.add(f'{name} lacks version {fleet.version}')


def _versions(log: Path) -> list[int]:
    events = map(json.loads, log.read_text().splitlines())
    return [
        event['version']
        for event in events
        if event['event'] == 'configuration-in-force'
    ]
