"""Number of slots of the upstreams of a service."""

from collections.abc import Mapping
from math import inf

from .upstream_state import UpstreamState

#: Time for which a count is used, as counting takes longer with more upstreams.
COUNT_VALIDITY_SECONDS = 0.05


class SlotCounter:
    """Counts the slots of usable upstreams that do not limit their rate.

    ``counted_at`` is in monotonic seconds.
    """

    def __init__(self, upstreams: Mapping[str, UpstreamState]) -> None:
        self.upstreams = upstreams
        self.latest = 0
        self.counted_at = -inf

    def invalidate(self) -> None:
        """Count again at the next call, as the upstreams have changed."""
        self.counted_at = -inf

    def count(self, now: float) -> int:
        """Return the number of slots, at most a short time old."""
        if now - self.counted_at >= COUNT_VALIDITY_SECONDS:
            self.counted_at = now
            self.latest = sum(
                state.entry.slots
                for state in self.upstreams.values()
                if state.is_usable and not state.is_limited
            )
        return self.latest
