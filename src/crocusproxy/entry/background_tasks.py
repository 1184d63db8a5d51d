"""Tasks that run until the process ends or their role does."""

import asyncio
from collections.abc import Awaitable, Callable

from ..logs import log

#: Time between an unexpected error of a task and its next run.
RESTART_DELAY_SECONDS = 0.2

Run = Callable[[], Awaitable[None]]


class BackgroundTasks:
    """Starts tasks and cancels them.

    A task that fails with an unexpected error is run again: without its queue
    runner or its elector, the process would stay up and serve nobody.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, run: Run) -> 'asyncio.Task[None]':
        """Start a task that calls ``run``."""
        task = asyncio.get_running_loop().create_task(_run_again_on_error(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in tuple(self.tasks):
            task.cancel()
        self.tasks.clear()


async def _run_again_on_error(run: Run) -> None:
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001 - any fault of the task
            log('task_failed', error=repr(error))
            await asyncio.sleep(RESTART_DELAY_SECONDS)
        else:
            return
