"""Child processes, which are killed at the latest when this one exits."""

import asyncio
import atexit
import contextlib
import json
import os
import signal
import sys
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import FrameType
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
MAX_OUTPUT_LINES = 5000
LINE_LIMIT_BYTES = 1024 * 1024

_running_pids: set[int] = set()
_installed_hooks: list[object] = []


class ProcessFailure(RuntimeError):
    """A child process ended or was not ready in time."""


class Child:
    """One child process and the last MAX_OUTPUT_LINES lines of its output."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.lines: deque[str] = deque(maxlen=MAX_OUTPUT_LINES)
        self._process = process
        self._output_changed = asyncio.Event()
        self._readers = [
            asyncio.create_task(self._read(stream))
            for stream in (process.stdout, process.stderr)
            if stream is not None
        ]

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """The exit status, None while the process runs."""
        return self._process.returncode

    def events(self) -> list[dict[str, Any]]:
        """Return the JSON objects among the output lines."""
        return [each for each in map(_parse_event, self.lines) if each]

    async def wait_ready(self, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until the process has printed its ready event."""
        await self.wait_event(_is_ready, timeout)

    async def wait_event(
        self,
        wanted: Callable[[dict[str, Any]], bool],
        timeout: float,
    ) -> None:
        """Wait until an event matches ``wanted``.

        Raises ProcessFailure if the process ends or the timeout, in seconds,
        passes first.
        """
        try:
            async with asyncio.timeout(timeout):
                while not any(map(wanted, self.events())):
                    self._check_alive()
                    self._output_changed.clear()
                    await self._output_changed.wait()
        except TimeoutError as exc:
            raise ProcessFailure(
                self._describe_failure('is not ready')
            ) from exc

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process unless it has ended."""
        if self.returncode is None:
            self._process.send_signal(number)

    async def stop(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Send SIGTERM, and SIGKILL after the timeout; return the status."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return await self.wait(timeout)
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Send SIGKILL and return the exit status."""
        self.send_signal(signal.SIGKILL)
        return await self.wait(STOP_TIMEOUT_SECONDS)

    async def wait(self, timeout: float) -> int:
        """Wait for the process to end and return its exit status.

        Raises TimeoutError after ``timeout`` seconds.
        """
        async with asyncio.timeout(timeout):
            status = await self._process.wait()
        _running_pids.discard(self.pid)
        await asyncio.gather(*self._readers)
        return status

    def _check_alive(self) -> None:
        if self.returncode is not None:
            raise ProcessFailure(self._describe_failure('ended'))

    def _describe_failure(self, problem: str) -> str:
        tail = '\n'.join(list(self.lines)[-20:])
        return f'{self.name} {problem} (status {self.returncode}):\n{tail}'

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.lines.append(line.decode(errors='replace').rstrip())
            self._output_changed.set()
        self._output_changed.set()


async def start(
    name: str,
    module: str,
    args: Sequence[str],
    env: Mapping[str, str] | None = None,
) -> Child:
    """Start ``python -m module args`` in the project's root directory."""
    _install_hooks()
    paths = (str(ROOT / 'src'), str(ROOT))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *args,
        cwd=ROOT,
        env={
            **os.environ,
            'PYTHONPATH': os.pathsep.join(paths),
            **(env or {}),
        },
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        limit=LINE_LIMIT_BYTES,
        start_new_session=True,
    )
    _running_pids.add(process.pid)
    return Child(name, process)


class Program:
    """A program that can be restarted.

    ``children`` holds one child process for each start.
    """

    def __init__(
        self,
        name: str,
        module: str,
        args: Sequence[str],
        env: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.children: list[Child] = []
        self._module = module
        self._args = args
        self._env = env

    @property
    def child(self) -> Child:
        """The most recently started process."""
        return self.children[-1]

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return bool(self.children) and self.child.returncode is None

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        child = await start(self.name, self._module, self._args, self._env)
        self.children.append(child)
        await child.wait_ready()

    async def stop(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Stop the process like ``Child.stop``; return 0 if never started."""
        return await self.child.stop(timeout) if self.children else 0

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        await self.child.kill()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.child.send_signal(signal.SIGCONT)

    def events(self) -> list[dict[str, Any]]:
        """Return the JSON objects printed by all children."""
        return [event for child in self.children for event in child.events()]


def _parse_event(line: str) -> dict[str, Any]:
    if not line.startswith('{'):
        return {}
    try:
        found: dict[str, Any] = json.loads(line)
    except ValueError:
        return {}
    return found


def _is_ready(event: dict[str, Any]) -> bool:
    return 'ready' in {event.get('event'), event.get('message')}


def _install_hooks() -> None:
    """Kill the children when this process exits, also after SIGTERM."""
    if _installed_hooks:
        return
    _installed_hooks.append(atexit.register(_kill_all))
    if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, _exit)


def _kill_all() -> None:
    for pid in tuple(_running_pids):
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


def _exit(number: int, _frame: FrameType | None) -> None:
    sys.exit(128 + number)
