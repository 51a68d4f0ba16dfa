"""A platform stand-in and reader processes, for the bench of readers."""

import os
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from bench.configuration.documents import Inventory
from tests.lib import processes
from tests.lib.control import ControlClient

COST_KEYS = ('reads', 'bytes', 'cpu_s', 'rss', 'empty')
USER_TICKS_FIELD = 11
WORKERS = 2
WATCH_WAIT_S = 3.0
TIMEOUT_S = 30.0


class ReaderRig:
    """A running platform stand-in and the worker processes that read it."""

    def __init__(
        self,
        platform: processes.Child,
        control: ControlClient,
        inventory: Inventory,
    ) -> None:
        """Hold a running platform; the caller appends the workers."""
        self._platform = platform
        self.inventory = inventory
        self.workers: list[processes.Child] = []
        self._control = control
        self._report_requests = 0

    async def publish(self) -> None:
        """Publish all documents of the inventory on the platform."""
        for key, raw in self.inventory.key_values():
            await self._control.put_bytes(f'/control/keys/{key}', raw)

    async def publish_change(self) -> float:
        """Publish a change of one service; return the monotonic time after."""
        before = dict(self.inventory.key_values())
        self.inventory = self.inventory.with_first_changed()
        for key, raw in self.inventory.key_values():
            if before[key] != raw:
                await self._control.put_bytes(f'/control/keys/{key}', raw)
        return time.monotonic()

    async def set_mode(self, mode: str) -> float:
        """Set the platform's mode; return the monotonic time after it."""
        await self._control.put('/control/mode', mode)
        return time.monotonic()

    async def fetch_counts(self) -> dict[str, int]:
        """Return the platform's request counts and its peak rate."""
        counts: dict[str, int] = await self._control.get('/control/counts')
        return counts

    async def collect_costs(self) -> dict[str, float]:
        """Return the workers' summed costs and the platform's CPU time."""
        self._report_requests += 1
        platform = {
            'at': time.monotonic(),
            'platform_s': _processor_seconds(self._platform.pid),
        }
        latest = [
            await _request_costs(worker, self._report_requests)
            for worker in self.workers
        ]
        return {
            name: sum(each[name] for each in latest) for name in COST_KEYS
        } | platform

    async def wait_in_force(self) -> list[float]:
        """Wait until all readers hold the inventory.

        Returns the monotonic time at which each reader reached it.
        """
        version = self.inventory.version
        times: list[float] = []
        for worker in self.workers:
            times.extend(
                (await _wait_event(worker, 'version', version))['times'],
            )
        return times


def _processor_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = sum(map(int, fields[USER_TICKS_FIELD : USER_TICKS_FIELD + 2]))
    return ticks / os.sysconf('SC_CLK_TCK')


def busy_share(before: dict[str, float], after: dict[str, float]) -> float:
    """Return the share of one processor that the platform used."""
    spent = after['platform_s'] - before['platform_s']
    return spent / (after['at'] - before['at'])


async def _request_costs(
    worker: processes.Child,
    number: int,
) -> dict[str, Any]:
    worker.send_signal(signal.SIGUSR1)
    return await _wait_event(worker, 'asked', number)


async def _wait_event(
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
) -> AsyncIterator[tuple[ReaderRig, str]]:
    """Run a platform with a published inventory; yield its rig and URL."""
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
        rig = ReaderRig(platform, control, inventory)
        await rig.publish()
        yield rig, f'http://{address}'


@asynccontextmanager
async def start_rig(
    readers: int,
    inventory: Inventory,
    seed: int,
    *,
    fresh: bool = False,
) -> AsyncIterator[ReaderRig]:
    """Run a platform and readers; yield once all workers are ready.

    Fresh readers start with an empty store.
    """
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
                'bench.configuration.worker',
                [*words, *(['--fresh'] if fresh else [])],
            )
            cleanup.push_async_callback(worker.stop)
            rig.workers.append(worker)
        for worker in rig.workers:
            await worker.wait_ready()
        yield rig
