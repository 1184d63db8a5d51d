"""Clock interface, so that time-dependent code is tested without waiting."""

import asyncio
import time
from datetime import datetime, timedelta, timezone
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC; it may jump."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never decreases."""

    async def sleep(self, delay: timedelta) -> None:
        """Return after ``delay`` of monotonic time."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(timezone.utc)

    def monotonic(self) -> timedelta:
        """Return the monotonic time of the operating system."""
        return timedelta(seconds=time.monotonic())

    async def sleep(self, delay: timedelta) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(delay.total_seconds())


class ManualClock:
    """A clock that only explicit calls advance, for tests and simulations.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.monotonic()
    datetime.timedelta(seconds=2)
    """

    def __init__(self, start: datetime | None = None) -> None:
        self.wall = start or datetime(2026, 1, 1, tzinfo=timezone.utc)
        self.elapsed = timedelta()

    def now(self) -> datetime:
        """Return the simulated wall-clock time."""
        return self.wall

    def monotonic(self) -> timedelta:
        """Return the sum of all advances."""
        return self.elapsed

    def advance(self, delay: timedelta) -> None:
        """Move wall-clock and monotonic time forward together."""
        self.wall += delay
        self.elapsed += delay

    async def sleep(self, delay: timedelta) -> None:
        """Advance the clock and let other tasks run."""
        self.advance(delay)
        await asyncio.sleep(0)
