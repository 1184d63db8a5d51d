"""Time as an interface, so that decisions can be tested without waiting."""

import asyncio
import time
from datetime import datetime, timedelta, timezone
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC; it may step."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never steps back."""

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
    """A clock that moves only when told to, for tests and simulations.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.monotonic()
    datetime.timedelta(seconds=2)
    """

    def __init__(self, start: datetime | None = None) -> None:
        self.wall = start or datetime(2026, 1, 1, tzinfo=timezone.utc)
        self.elapsed = timedelta()

    def now(self) -> datetime:
        """Return the wall-clock time that the test has set."""
        return self.wall

    def monotonic(self) -> timedelta:
        """Return the sum of all advances."""
        return self.elapsed

    def advance(self, delay: timedelta) -> None:
        """Move wall-clock and monotonic time forward together."""
        self.wall += delay
        self.elapsed += delay

    async def sleep(self, delay: timedelta) -> None:
        """Advance the clock and give other tasks a turn."""
        self.advance(delay)
        await asyncio.sleep(0)
