"""Timeouts that do not count the time in which the soak itself stood still.

A busy host may not run the soak's process for seconds. A response that arrived
meanwhile would count as late, though its instance sent it in time.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

#: The loop is checked this often. A longer check counts as two of these.
SLICE_SECONDS = 0.05


async def wait_in_own_time(
    work: Coroutine[Any, Any, None],
    seconds: float,
    is_stopped: Callable[[], bool] = bool,
) -> None:
    """Await ``work`` for ``seconds`` in which the event loop runs.

    Time in which ``is_stopped`` does not count either.

    Raises:
        TimeoutError: the work has taken longer, and is cancelled.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(work)
    remaining = seconds
    try:
        while remaining > 0 and not task.done():
            started_at = loop.time()
            await asyncio.wait((task,), timeout=min(remaining, SLICE_SECONDS))
            if not is_stopped():
                remaining -= min(loop.time() - started_at, 2 * SLICE_SECONDS)
        if not task.done():
            raise TimeoutError
        await task
    finally:
        task.cancel()
        await asyncio.wait((task,))
