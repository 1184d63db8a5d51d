"""An event loop whose timers act only after earlier input was read.

uvloop runs the timers that are due before it polls its sockets. After a pause,
a timer would decide against a peer whose bytes the kernel has held for long.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Any, TypeVarTuple, Unpack

import uvloop

from .pause_monitor import CATCH_UP_RUNS, PauseMonitor

_Arguments = TypeVarTuple('_Arguments')
#: Runs that a timer waits for at least: one reads, two are for tasks.
_MIN_RUNS = 3
#: A timer that has waited for longer takes no more than these. A loop whose
#: runs are always long would delay all timers by many of them.
_MAX_WAIT_SECONDS = 0.05


class InputFirstLoop(uvloop.Loop):
    """Delays timers that are due after a pause until its input was read.

    ``pauses`` tells whether the loop has paused; without it, none is delayed.
    """

    pauses: PauseMonitor | None = None

    def call_later(
        self,
        delay: float,
        callback: Callable[[Unpack[_Arguments]], object],
        *args: Unpack[_Arguments],
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call ``callback`` after ``delay`` seconds, as ``call_at`` does."""
        timer = _Timer(self, callback, args)
        timer.handle = super().call_later(delay, timer, context=context)
        return timer.handle

    def call_later_undelayed(
        self, delay: float, callback: Callable[[], object]
    ) -> asyncio.TimerHandle:
        """Call ``callback`` after ``delay`` seconds, also in a pause."""
        return uvloop.Loop.call_later(self, delay, callback)


class _Timer:
    """Calls back at once, or once the input of a pause was read."""

    __slots__ = ('args', 'callback', 'handle', 'loop', 'runs', 'waits_since')

    def __init__(
        self,
        loop: InputFirstLoop,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        self.loop = loop
        self.callback = callback
        self.args = args
        self.handle: asyncio.TimerHandle | None = None
        self.runs = 0
        self.waits_since = float()

    def __call__(self) -> None:
        pauses = self.loop.pauses
        if pauses is not None and pauses.is_ending():
            self.waits_since = self.loop.time()
            self._wait_one_run()
        else:
            self.callback(*self.args)

    def _wait_one_run(self) -> None:
        handle = self.handle
        # What was read meanwhile may have made the timer needless.
        if handle is not None and handle.cancelled():
            return
        if self._has_waited():
            self.callback(*self.args)
        else:
            self.runs += 1
            self.loop.call_soon(self._wait_one_run)

    def _has_waited(self) -> bool:
        if self.runs < _MIN_RUNS:
            return False
        waited_seconds = self.loop.time() - self.waits_since
        return self.runs >= CATCH_UP_RUNS or waited_seconds > _MAX_WAIT_SECONDS
