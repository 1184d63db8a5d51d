"""Counts one process's good and bad requests, within bounded memory."""

from datetime import datetime, timedelta

from ..clock import Clock
from .rates import SPANS
from .windows import WINDOW, WindowCounts, merge, roll_up, window_start

#: One more window than the longest span needs, for clocks that disagree.
_KEEP_SHORT = max(SPANS) + WINDOW


class BurnCounter:
    """Counts of one service, kept for ``retention``, the objective's window."""

    def __init__(self, clock: Clock, retention: timedelta) -> None:
        self.clock = clock
        self.retention = retention
        self.finished: tuple[WindowCounts, ...] = ()
        self.start = window_start(clock.now())
        self.good = 0
        self.bad = 0

    def record(self, good: bool) -> None:
        """Count one request at the present time."""
        self._turn_over()
        if good:
            self.good += 1
        else:
            self.bad += 1

    def counts(self) -> tuple[WindowCounts, ...]:
        """Return the counts of all kept windows, the current one included."""
        self._turn_over()
        return merge((*self.finished, *self._current()))

    def _turn_over(self) -> None:
        now = self.clock.now()
        # A wall clock that stepped back must not reopen finished windows.
        start = max(window_start(now), self.start)
        if start == self.start:
            return
        counts = roll_up((*self.finished, *self._current()), now - _KEEP_SHORT)
        self.finished = self._kept(counts, now)
        self.start = start
        self.good = 0
        self.bad = 0

    def _current(self) -> tuple[WindowCounts, ...]:
        current = WindowCounts(self.start, WINDOW, self.good, self.bad)
        return (current,) if current.total else ()

    def _kept(
        self,
        counts: tuple[WindowCounts, ...],
        now: datetime,
    ) -> tuple[WindowCounts, ...]:
        return tuple(
            entry for entry in counts if entry.start > now - self.retention
        )
