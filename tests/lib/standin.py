"""Functions shared by the stand-ins: ready event and stop signals."""

import asyncio
import json
import signal
from collections.abc import Coroutine
from typing import Any


def announce(**fields: Any) -> None:
    """Print the ready event, which the parent process waits for."""
    print(json.dumps({'event': 'ready', **fields}), flush=True)


async def until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run the main coroutine of a stand-in."""
    asyncio.run(main)
