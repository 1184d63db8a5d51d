"""Memory for responses that callers don't read."""

from datetime import timedelta
from typing import Protocol

from ..http_server.memory_budget import BYTES_PER_MB, MemoryBudget

#: Share of an instance's memory that unread responses may take together.
MEMORY_SHARE = 0.125
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


class UnreadResponses(MemoryBudget[Holder]):
    """Ends the connections that hold most while all hold too much.

    Only connections are noted that hold more than their transport buffers.
    """

    def size_of(self, holder: Holder) -> int:
        """Return the bytes that this process holds for a caller."""
        return holder.held_bytes()

    def rank(self, now: timedelta, holder: Holder) -> tuple[bool, int]:
        """Return a value that is the higher, the earlier one is ended."""
        return holder.silence(now) > _SILENCE, self.holders[holder]

    def end(self, holder: Holder) -> None:
        """End a connection without what it holds."""
        holder.end_for_memory()


def budget_of(memory_mb: int) -> UnreadResponses:
    """Return the budget of an instance with ``memory_mb`` of memory."""
    return UnreadResponses(int(memory_mb * BYTES_PER_MB * MEMORY_SHARE))
