"""An event loop in virtual time.

Time advances only while all tasks wait, at once to the next timer.
"""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances the time to the next timer instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time, without real waiting."""

    def __init__(self):
        self.time_selector = VirtualTimeSelector()
        super().__init__(self.time_selector)

    def time(self):
        return self.time_selector.now


class LoopClock:
    """The clock of a virtual loop."""

    def __init__(self, loop):
        self.loop = loop

    def now(self):
        return datetime.fromtimestamp(self.loop.time(), UTC)

    def monotonic(self):
        return timedelta(seconds=self.loop.time())
