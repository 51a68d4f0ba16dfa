"""What all stand-in programs share: the ready line and the stop signal."""

import asyncio
import json
import signal
from collections.abc import Coroutine
from typing import Any


def announce(**fields: Any) -> None:
    """Print the line that tells a parent process that this one listens."""
    print(json.dumps({'event': 'ready', **fields}), flush=True)


async def until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a stand-in's main coroutine to its end."""
    asyncio.run(main)
