"""Number of slots of the upstreams of a service."""

from math import inf

from .upstream_index import UpstreamIndex

#: Time for which a count is used, so that one burst of requests is judged by
#: one count.
COUNT_VALIDITY_SECONDS = 0.05


class SlotCounter:
    """Counts the slots of usable upstreams that do not limit their rate.

    ``counted_at`` is in monotonic seconds.
    """

    def __init__(self, index: UpstreamIndex) -> None:
        self.index = index
        self.latest = 0
        self.counted_at = -inf

    def invalidate(self) -> None:
        """Count again at the next call, as the upstreams have changed."""
        self.counted_at = -inf

    def count(self, now: float) -> int:
        """Return the number of slots, at most a short time old."""
        if now - self.counted_at >= COUNT_VALIDITY_SECONDS:
            self.counted_at = now
            self.index.refresh(now)
            self.latest = self.index.slot_count
        return self.latest
