"""What one balancer knows of one upstream."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..config.model import Upstream


@dataclass(slots=True, eq=False)
class UpstreamState:
    """Open requests and marks of one upstream.

    ``open`` maps tickets to monotonic start times in seconds, oldest first.
    """

    upstream: Upstream
    draining: bool = False
    last_ticket: int = 0
    open: dict[int, float] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Return the key of the upstream in the configuration."""
        return self.upstream.key

    @property
    def in_flight(self) -> int:
        """Return the number of this process's open requests."""
        return len(self.open)

    def open_request(self, now: timedelta) -> int:
        """Record a dispatched request and return its ticket."""
        self.last_ticket += 1
        self.open[self.last_ticket] = now.total_seconds()
        return self.last_ticket

    def close_request(self, ticket: int | None) -> float | None:
        """Forget a request and return its start, or the oldest one's."""
        if ticket is None:
            ticket = next(iter(self.open), 0)
        return self.open.pop(ticket, None)
