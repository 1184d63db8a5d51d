"""Memory for the responses that one instance is receiving."""

from abc import abstractmethod
from typing import Protocol

#: Share of an instance's memory that responses may take together. A response is
#: copied once when it is complete.
MEMORY_SHARE = 0.125
_BYTES_PER_MB = 1024 * 1024
#: Responses that hold less are not ended for others.
SMALL_RESPONSE_BYTES = 64 * 1024


class ResponseHolder(Protocol):
    """A connection that is receiving a response of ``held_bytes``."""

    held_bytes: int

    @abstractmethod
    def drop_response(self) -> None:
        """Release the received bytes at once and give them back."""


class ResponseBudget:
    """Divides ``total_bytes`` among the responses that are being received.

    If nothing is left, the largest response is dropped: one that never ends
    grows until it is the largest, and small ones always have room.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.large_holders: set[ResponseHolder] = set()

    def take(self, holder: ResponseHolder, more_bytes: int) -> bool:
        """Take bytes for a response, or return False if it is the largest."""
        while self.used_bytes + more_bytes > self.total_bytes:
            largest = max(self.large_holders, key=_held_bytes, default=holder)
            if largest.held_bytes <= holder.held_bytes + more_bytes:
                return False
            largest.drop_response()
        self.used_bytes += more_bytes
        holder.held_bytes += more_bytes
        if holder.held_bytes > SMALL_RESPONSE_BYTES:
            self.large_holders.add(holder)
        return True

    def give_back(self, holder: ResponseHolder) -> None:
        """Give back what a response holds."""
        self.used_bytes -= holder.held_bytes
        holder.held_bytes = 0
        self.large_holders.discard(holder)


def budget_of(memory_mb: int) -> ResponseBudget:
    """Return the budget of an instance with ``memory_mb`` of memory."""
    return ResponseBudget(int(memory_mb * _BYTES_PER_MB * MEMORY_SHARE))


def _held_bytes(holder: ResponseHolder) -> int:
    return holder.held_bytes
