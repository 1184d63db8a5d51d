"""Limit of the log lines that callers can cause."""

from datetime import timedelta


class LineLimit:
    """Admits ``lines_per_second`` lines, and counts those that it left out.

    >>> limit = LineLimit(1)
    >>> [limit.admit(timedelta(seconds=second)) for second in (1, 1.5, 2)]
    [True, False, True]
    >>> limit.take_dropped(), limit.take_dropped()
    (1, 0)
    """

    def __init__(self, lines_per_second: int) -> None:
        self.lines_per_second = lines_per_second
        self.second = -1
        self.lines = 0
        self.dropped_lines = 0

    def admit(self, now: timedelta) -> bool:
        """Return whether a line may be written at a monotonic time."""
        second = int(now.total_seconds())
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        is_admitted = self.lines <= self.lines_per_second
        self.dropped_lines += not is_admitted
        return is_admitted

    def take_dropped(self) -> int:
        """Return how many lines were left out since the last call."""
        dropped_lines = self.dropped_lines
        self.dropped_lines = 0
        return dropped_lines
