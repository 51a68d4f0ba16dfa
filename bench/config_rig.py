"""A platform stand-in and many readers, for ``bench.config_readers``."""

import os
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from bench.config_documents import Inventory
from tests.lib import processes
from tests.lib.control import ControlClient

COSTS = ('reads', 'bytes', 'cpu_s', 'rss', 'empty')
USER_TICKS = 11
WORKERS = 2
WATCH_WAIT_S = 3.0
TIMEOUT_S = 30.0


class Rig:
    """The platform and the worker processes of one size."""

    def __init__(
        self,
        platform: processes.Child,
        control: ControlClient,
        inventory: Inventory,
    ) -> None:
        """Start without workers."""
        self._platform = platform
        self.inventory = inventory
        self.workers: list[processes.Child] = []
        self._control = control
        self._asked = 0

    async def publish(self) -> None:
        """Publish all documents that a reader may ask for."""
        for key, raw in self.inventory.published():
            await self._control.put_bytes(f'/control/keys/{key}', raw)

    async def change(self) -> float:
        """Publish a change of one service; return when it was done."""
        before = dict(self.inventory.published())
        self.inventory = self.inventory.raise_first()
        for key, raw in self.inventory.published():
            if before[key] != raw:
                await self._control.put_bytes(f'/control/keys/{key}', raw)
        return time.monotonic()

    async def switch(self, mode: str) -> float:
        """Switch the platform's mode; return when it was done."""
        await self._control.put('/control/mode', mode)
        return time.monotonic()

    async def counts(self) -> dict[str, int]:
        """Return the platform's counts."""
        counts: dict[str, int] = await self._control.get('/control/counts')
        return counts

    async def costs(self) -> dict[str, float]:
        """Return the sums of what the workers have used so far."""
        self._asked += 1
        platform = {
            'at': time.monotonic(),
            'platform_s': _processor_seconds(self._platform.pid),
        }
        latest = [await _ask(worker, self._asked) for worker in self.workers]
        return {
            name: sum(each[name] for each in latest) for name in COSTS
        } | platform

    async def times(self) -> list[float]:
        """Wait until all readers hold the inventory; return when."""
        version = self.inventory.version
        found: list[float] = []
        for worker in self.workers:
            found.extend((await _find(worker, 'version', version))['times'])
        return found


def _processor_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = sum(map(int, fields[USER_TICKS : USER_TICKS + 2]))
    return ticks / os.sysconf('SC_CLK_TCK')


def busy_share(before: dict[str, float], after: dict[str, float]) -> float:
    """Return the share of one processor that the platform took."""
    spent = after['platform_s'] - before['platform_s']
    return spent / (after['at'] - before['at'])


async def _ask(worker: processes.Child, asked: int) -> dict[str, Any]:
    worker.send_signal(signal.SIGUSR1)
    return await _find(worker, 'asked', asked)


async def _find(
    worker: processes.Child,
    name: str,
    wanted: int,
) -> dict[str, Any]:
    def matches(event: dict[str, Any]) -> bool:  # noqa: WPS430 -- binds name
        return event.get(name) == wanted

    await worker.wait_event(matches, TIMEOUT_S)
    return next(filter(matches, worker.events()))


def _free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as server:
        return f'127.0.0.1:{server.getsockname()[1]}'


@asynccontextmanager
async def start_platform(
    inventory: Inventory,
) -> AsyncIterator[tuple[Rig, str]]:
    """Run a platform that has published an inventory."""
    async with AsyncExitStack() as cleanup:
        address = _free_address()
        platform = await processes.start(
            'platform',
            'tests.lib.platform',
            ('--listen', address),
        )
        cleanup.push_async_callback(platform.stop)
        await platform.wait_ready()
        control = ControlClient(address)
        cleanup.push_async_callback(control.aclose)
        rig = Rig(platform, control, inventory)
        await rig.publish()
        yield rig, f'http://{address}'


@asynccontextmanager
async def start_rig(
    readers: int,
    inventory: Inventory,
    seed: int,
    *,
    fresh: bool = False,
) -> AsyncIterator[Rig]:
    """Run a platform and readers; return once the readers run."""
    async with AsyncExitStack() as cleanup:
        rig, url = await cleanup.enter_async_context(start_platform(inventory))
        for number in range(WORKERS):
            options = {
                'platform': url,
                'readers': readers // WORKERS,
                'services': len(inventory.services),
                'endpoints': len(inventory.services[0].endpoints),
                'seed': seed + number if fresh else seed,
                'watch-wait': WATCH_WAIT_S,
            }
            words = [f'--{name}={text}' for name, text in options.items()]
            worker = await processes.start(
                f'readers-{number}',
                'bench.config_worker',
                [*words, *(['--fresh'] if fresh else [])],
            )
            cleanup.push_async_callback(worker.stop)
            rig.workers.append(worker)
        for worker in rig.workers:
            await worker.wait_ready()
        yield rig
