"""Memory for responses that callers don't read."""

from datetime import timedelta
from functools import partial
from math import inf
from typing import Protocol

#: Share of an instance's memory that unread responses may take together.
MEMORY_SHARE = 0.125
_BYTES_PER_MB = 1024 * 1024
#: A caller that has acknowledged nothing for so long is ended before others.
_SILENCE = timedelta(seconds=1)


class Holder(Protocol):
    """The part of a connection that holds responses."""

    def held_bytes(self) -> int:
        """Return the bytes that this process holds for the caller."""

    def silence(self, now: timedelta) -> timedelta:
        """Return for how long the caller has acknowledged nothing."""

    def end_for_memory(self) -> None:
        """End the connection without what it holds."""


class UnreadResponses:
    """Ends the connections that hold most while all hold ``total_bytes``.

    Only connections are noted that hold more than their transport buffers.
    """

    def __init__(self, total_bytes: float = inf) -> None:
        self.total_bytes = total_bytes
        self.held_bytes = 0
        self.holders: dict[Holder, int] = {}

    def note(self, holder: Holder, now: timedelta) -> None:
        """Note what a connection holds, and end some if all hold too much."""
        self._set(holder, holder.held_bytes())
        if self.held_bytes > self.total_bytes:
            self._end_largest(now)

    def forget(self, holder: Holder) -> None:
        """Forget a connection that holds little, or has ended."""
        self.held_bytes -= self.holders.pop(holder, 0)

    def _set(self, holder: Holder, held_bytes: int) -> None:
        self.held_bytes += held_bytes - self.holders.get(holder, 0)
        self.holders[holder] = held_bytes

    def _end_largest(self, now: timedelta) -> None:
        for holder in tuple(self.holders):
            self._set(holder, holder.held_bytes())
        while self.held_bytes > self.total_bytes:
            largest = max(self.holders, key=partial(self._rank, now))
            self.forget(largest)
            largest.end_for_memory()

    def _rank(self, now: timedelta, holder: Holder) -> tuple[bool, int]:
        """Return a value that is the higher, the earlier one is ended."""
        return holder.silence(now) > _SILENCE, self.holders[holder]


def budget_of(memory_mb: int) -> UnreadResponses:
    """Return the budget of an instance with ``memory_mb`` of memory."""
    return UnreadResponses(int(memory_mb * _BYTES_PER_MB * MEMORY_SHARE))
