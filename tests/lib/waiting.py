"""Polling for conditions, instead of sleeping for a fixed time."""

import asyncio
from collections.abc import Awaitable, Callable

POLL_PERIOD_SECONDS = 0.02


async def eventually(
    check: Callable[[], Awaitable[bool]],
    timeout: float = 5.0,
    what: str = 'condition',
) -> None:
    """Wait until ``check`` returns True, polling every POLL_PERIOD_SECONDS.

    Raises AssertionError, which mentions ``what``, after ``timeout`` seconds.
    """
    try:
        async with asyncio.timeout(timeout):
            await _poll(check)
    except TimeoutError as exc:
        raise AssertionError(f'{what}: timed out after {timeout} s') from exc


async def wait_until(
    condition: Callable[[], bool], timeout: float = 5.0
) -> None:
    """Wait until ``condition()`` is True; raise AssertionError after a time."""

    async def check() -> bool:
        return condition()

    await eventually(check, timeout)


async def _poll(check: Callable[[], Awaitable[bool]]) -> None:
    while True:
        if await check():
            return
        await asyncio.sleep(POLL_PERIOD_SECONDS)
