"""Timeouts that count against a peer, without the time of own pauses.

While this process paused, a peer may have waited for it: what it had to send
was not sent, and what the peer sent was not read.
"""

import asyncio
from collections.abc import Callable
from math import inf
from types import TracebackType

from .pause_monitor import HEARTBEAT_SECONDS, PauseMonitor

#: An extension is as long as the loop ran too little, at most the whole time.
#: Without a bound, a process that pauses again and again would never notice
#: that a peer is dead; with this one it does within four times the time.
MAX_EXTENSIONS = 3
_DUE_NOW = float()


def own_paused_seconds() -> float:
    """Return the sum of all pauses of the running loop, 0 if unknown."""
    pauses = getattr(asyncio.get_running_loop(), 'pauses', None)
    return 0 if pauses is None else float(pauses.total_seconds())


class PeerTimer:
    """Calls ``callback`` once the loop has run for ``seconds``.

    ``pauses`` measures the time in which it has not run. By default it is the
    monitor of the running loop; without one, time is not extended. No extension
    goes beyond ``limit`` seconds from the start, for instance the deadline of a
    caller, whose clock goes on.
    """

    __slots__ = (
        'callback',
        'extensions_left',
        'handle',
        'limit',
        'loop',
        'paused_before',
        'pauses',
        'seconds',
        'started_at',
    )

    def __init__(
        self,
        seconds: float,
        callback: Callable[[], object],
        pauses: PauseMonitor | None = None,
        limit: float = inf,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.seconds = seconds
        self.limit = limit
        self.callback = callback
        self.pauses = pauses or getattr(loop, 'pauses', None)
        self.extensions_left = MAX_EXTENSIONS
        self.paused_before = self._paused_seconds()
        self.handle = loop.call_later(seconds, self._check)
        # uvloop brings its time up to date when it starts a timer.
        self.started_at = loop.time()

    def cancel(self) -> None:
        """Call back no more."""
        self.handle.cancel()

    def _check(self) -> None:
        seconds_left = self._seconds_left()
        if seconds_left > 0 and self.extensions_left:
            self.extensions_left -= 1
            self.handle = self.loop.call_later(seconds_left, self._check)
        else:
            self.callback()

    def _seconds_left(self) -> float:
        paused = self._paused_seconds() - self.paused_before
        if paused <= 0:
            return 0
        # A pause is measured from the next heartbeat on, so it may have been
        # longer than was seen.
        extended = self.seconds + paused + HEARTBEAT_SECONDS
        due_at = self.started_at + min(extended, self.limit)
        return min(due_at - self.loop.time(), self.seconds)

    def _paused_seconds(self) -> float:
        return 0 if self.pauses is None else self.pauses.total_seconds()


class PeerTimeout:
    """As ``asyncio.timeout``, with the time of a ``PeerTimer``.

    Raises:
        TimeoutError: the block took longer.
    """

    __slots__ = ('limit', 'pauses', 'seconds', 'timeout', 'timer')

    def __init__(
        self,
        seconds: float,
        pauses: PauseMonitor | None = None,
        limit: float = inf,
    ) -> None:
        self.seconds = seconds
        self.pauses = pauses
        self.limit = limit
        self.timeout = asyncio.timeout(None)
        self.timer: PeerTimer | None = None

    async def __aenter__(self) -> None:
        await self.timeout.__aenter__()
        self.timer = PeerTimer(
            self.seconds, self._expire, self.pauses, self.limit
        )

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self.timer is not None
        self.timer.cancel()
        await self.timeout.__aexit__(error_type, error, traceback)

    def _expire(self) -> None:
        self.timeout.reschedule(_DUE_NOW)
