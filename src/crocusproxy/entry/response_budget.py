"""Memory for the responses that one instance is receiving."""

#: Share of an instance's memory that responses may take together.
MEMORY_SHARE = 0.25
_BYTES_PER_MB = 1024 * 1024


class ResponseBudget:
    """Divides ``total_bytes`` among the responses that are being received.

    A response may not take more than is left, so a few that never end use up
    the budget only in part, and small ones always have room.
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0

    def take(self, held_bytes: int, more_bytes: int) -> bool:
        """Take bytes for a response that holds some, or return False."""
        left_bytes = self.total_bytes - self.used_bytes - more_bytes
        if held_bytes + more_bytes > left_bytes:
            return False
        self.used_bytes += more_bytes
        return True

    def give_back(self, held_bytes: int) -> None:
        """Give back what a response holds."""
        self.used_bytes -= held_bytes


def budget_of(memory_mb: int) -> ResponseBudget:
    """Return the budget of an instance with ``memory_mb`` of memory."""
    return ResponseBudget(int(memory_mb * _BYTES_PER_MB * MEMORY_SHARE))
