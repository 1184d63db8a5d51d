"""Counts of good and bad requests in fixed windows of wall-clock time.

Windows start at multiples of their length since the Unix epoch, so that all
instances have the same windows and their counts can be added.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta, timezone

#: Length of the windows in which requests are counted.
WINDOW = timedelta(minutes=1)
#: Windows older than the longest span are merged into windows of this length.
LONG_WINDOW = timedelta(hours=1)

_EPOCH = datetime(1970, 1, 1, tzinfo=timezone.utc)


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Requests counted between ``start`` and ``start + length``."""

    start: datetime
    length: timedelta
    good: int
    bad: int

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.good + self.bad


def window_start(moment: datetime, length: timedelta = WINDOW) -> datetime:
    """Return the start of the window that contains ``moment``.

    >>> window_start(datetime(2026, 1, 1, 9, 30, 59, tzinfo=timezone.utc))
    datetime.datetime(2026, 1, 1, 9, 30, tzinfo=datetime.timezone.utc)
    """
    return moment - (moment - _EPOCH) % length


def merge(counts: Iterable[WindowCounts]) -> tuple[WindowCounts, ...]:
    """Add the counts of equal windows; sort by start and length.

    The counts must come from different sources: equal windows of one source
    would be counted twice.
    """
    sums: dict[tuple[datetime, timedelta], tuple[int, int]] = {}
    for entry in counts:
        window = (entry.start, entry.length)
        good, bad = sums.get(window, (0, 0))
        sums[window] = (good + entry.good, bad + entry.bad)
    return tuple(
        WindowCounts(*window, *sums[window]) for window in sorted(sums)
    )


def roll_up(
    counts: Iterable[WindowCounts],
    before: datetime,
) -> tuple[WindowCounts, ...]:
    """Merge windows that start earlier than ``before`` into long windows.

    Only complete long windows are merged, so that no request is counted in
    windows of both lengths.
    """
    limit = window_start(before, LONG_WINDOW)
    return merge(
        _to_long_window(entry) if entry.start < limit else entry
        for entry in counts
    )


def _to_long_window(entry: WindowCounts) -> WindowCounts:
    start = window_start(entry.start, LONG_WINDOW)
    return WindowCounts(start, LONG_WINDOW, entry.good, entry.bad)
