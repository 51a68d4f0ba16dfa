"""Processes of the soak's daemons, of which each runs at most once."""

__all__ = ('DaemonProcesses',)

import asyncio
import signal
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path

from attrs import define, field

RESTART_PERIOD_S = 0.3


@define(eq=False)
class DaemonProcesses:
    """Starts, signals and restarts processes by name.

    ``launch(name, log)`` creates the process of a daemon that writes to a log
    file. Starts and stops of one daemon exclude each other: a second process
    could not bind its addresses and would outlive the soak.
    """

    folder: Path
    launch: Callable[[str, Path], Awaitable[asyncio.subprocess.Process]]
    running: dict[str, asyncio.subprocess.Process] = field(factory=dict)
    # The log files of each daemon, one per process.
    logs: dict[str, list[Path]] = field(factory=dict)
    # Daemons ended by ``stop``, which ``supervise`` doesn't restart.
    _stopped: set[str] = field(factory=set)
    _locks: defaultdict[str, asyncio.Lock] = field(
        factory=lambda: defaultdict(asyncio.Lock),
    )

    async def start(self, name: str) -> None:
        """Start a daemon unless it runs."""
        async with self._locks[name]:
            await self._launch_if_ended(name)
            self._stopped.discard(name)

    async def stop(self, name: str, signal_number: signal.Signals) -> None:
        """End a daemon by a signal and wait for its exit.

        A paused process is resumed first. ``supervise`` doesn't restart it.
        """
        async with self._locks[name]:
            self._stopped.add(name)
            if self._is_running(name):
                process = self.running[name]
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal_number)
                await process.wait()

    async def stop_all(self) -> None:
        """Kill all daemons."""
        for name in self.running:
            await self.stop(name, signal.SIGKILL)

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a daemon if its process runs."""
        if self._is_running(name):
            self.running[name].send_signal(signal_number)

    async def supervise(self) -> None:
        """Restart daemons that exited by themselves, as the platform does.

        A signal that arrives while the interpreter starts, before it has
        handlers, ends the process.
        """
        while True:
            await asyncio.sleep(RESTART_PERIOD_S)
            for name in tuple(self.running):
                await self._restart(name)

    async def _restart(self, name: str) -> None:
        async with self._locks[name]:
            if name not in self._stopped:
                await self._launch_if_ended(name)

    async def _launch_if_ended(self, name: str) -> None:
        if self._is_running(name):
            return
        logs = self.logs.setdefault(name, [])
        logs.append(self.folder / f'{name}.{len(logs)}.log')
        self.running[name] = await self.launch(name, logs[-1])

    def _is_running(self, name: str) -> bool:
        process = self.running.get(name)
        return process is not None and process.returncode is None
