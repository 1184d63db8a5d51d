"""Counts the good and bad requests of a process in bounded memory."""

from datetime import datetime, timedelta

from ..clock import Clock
from .rates import SPANS
from .windows import WINDOW, WindowCounts, merge, roll_up, window_start

#: One more window than the longest span needs, because a reader's clock may be
#: behind.
_SHORT_RETENTION = max(SPANS) + WINDOW


class BurnCounter:
    """Counts of one service, kept for ``retention``.

    ``retention`` is the window of the service-level objective.
    """

    def __init__(self, clock: Clock, retention: timedelta) -> None:
        self.clock = clock
        self.retention = retention
        self.finished_windows: tuple[WindowCounts, ...] = ()
        self.current_start = window_start(clock.now())
        self.good = 0
        self.bad = 0

    def record(self, good: bool) -> None:
        """Count one request in the current window."""
        self._close_finished_window()
        if good:
            self.good += 1
        else:
            self.bad += 1

    def counts(self) -> tuple[WindowCounts, ...]:
        """Return the counts of all retained windows, including the current."""
        self._close_finished_window()
        return merge((*self.finished_windows, *self._current_counts()))

    def _close_finished_window(self) -> None:
        now = self.clock.now()
        # A wall clock that steps back must not reopen finished windows.
        start = max(window_start(now), self.current_start)
        if start == self.current_start:
            return
        counts = roll_up(
            (*self.finished_windows, *self._current_counts()),
            now - _SHORT_RETENTION,
        )
        self.finished_windows = self._within_retention(counts, now)
        self.current_start = start
        self.good = 0
        self.bad = 0

    def _current_counts(self) -> tuple[WindowCounts, ...]:
        current = WindowCounts(self.current_start, WINDOW, self.good, self.bad)
        return (current,) if current.total else ()

    def _within_retention(
        self,
        counts: tuple[WindowCounts, ...],
        now: datetime,
    ) -> tuple[WindowCounts, ...]:
        return tuple(
            entry for entry in counts if entry.start > now - self.retention
        )
