"""Tasks that run until the process ends or their role does."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..logs import log


class BackgroundTasks:
    """Starts tasks, logs their failures and cancels them."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> 'asyncio.Task[None]':
        """Start a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in tuple(self.tasks):
            task.cancel()
        self.tasks.clear()

    def _finish(self, task: 'asyncio.Task[None]') -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log('task_failed', error=repr(task.exception()))
