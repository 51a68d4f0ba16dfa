"""A group of background tasks that are cancelled together."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Runs background tasks, logs their failures and cancels them on close.

    Holding a reference to each task protects it from garbage collection.
    Unlike in ``asyncio.TaskGroup``, the failure of a task doesn't cancel the
    others, as a fault on one connection must not affect the rest.
    """

    def __init__(self) -> None:
        """Create an empty group."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self,
        coroutine: Coroutine[Any, Any, Any],
        name: str,
    ) -> asyncio.Task[Any]:
        """Run a coroutine in a new task of this group, and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
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
