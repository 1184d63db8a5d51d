"""An event loop whose time passes only while all tasks wait."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta


class VirtualTimeSelector(selectors.SelectSelector):
    """Skips the time until the next timer."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('every task waits, and for no timer')
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines without any real waiting."""

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
