"""Event loops with the monitor of pauses that all programs have."""

import asyncio
from contextlib import contextmanager

from crocusproxy.clock import SystemClock
from crocusproxy.event_loop.input_first_loop import InputFirstLoop
from crocusproxy.event_loop.pause_monitor import PauseMonitor

SETTLE_SECONDS = 0.12


@contextmanager
def observed_pauses():
    """Let a monitor observe the running loop, as programs do."""
    loop = asyncio.get_running_loop()
    loop.pauses = PauseMonitor(SystemClock(), lambda event, **fields: None)
    loop.pauses.start()
    try:
        yield
    finally:
        loop.pauses.stop()


def run(scenario, loop_factory=InputFirstLoop):
    """Run a scenario on the loop that all programs use, or another one."""

    async def observed():
        with observed_pauses():
            await asyncio.sleep(SETTLE_SECONDS)
            return await scenario()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(observed())
