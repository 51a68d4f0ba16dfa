"""A group of background tasks that end together."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class TaskGroup:
    """Keep background tasks alive, log their failures, cancel them at once.

    Unlike ``asyncio.TaskGroup`` a failed task leaves the others running: a
    fault on one connection must not end the rest.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self,
        coroutine: Coroutine[Any, Any, Any],
        name: str,
    ) -> asyncio.Task[Any]:
        """Run a coroutine in a task of this group."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            logger.error(
                'task-failed',
                extra={'task': task.get_name()},
                exc_info=exc,
            )
