"""The event loop of all programs, with its monitor of pauses."""

import asyncio

from crocusproxy.clock import SystemClock
from crocusproxy.event_loop.input_first_loop import InputFirstLoop
from crocusproxy.event_loop.pause_monitor import PauseMonitor

SETTLE_SECONDS = 0.12


def observed_loop():
    """Return a new loop of the kind that programs use."""
    loop = InputFirstLoop()
    loop.pauses = PauseMonitor(SystemClock(), lambda event, **fields: None)
    return loop


def run(scenario):
    """Run a scenario on the loop that all programs use."""
    loop = observed_loop()

    async def observed():
        loop.pauses.start()
        await asyncio.sleep(SETTLE_SECONDS)
        try:
            return await scenario()
        finally:
            loop.pauses.stop()

    try:
        return loop.run_until_complete(observed())
    finally:
        loop.close()
