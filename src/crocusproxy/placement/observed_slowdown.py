"""Slowness of an upstream that its own reports do not show.

The load that this answers: single servers that work several times slower for
seconds, while they report their usual speed and pass their health check.
"""

from collections import deque
from dataclasses import dataclass, field

#: So many requests in a row must have been slow. Each one may be slow by
#: itself, since the speed of all upstreams varies within a request.
SAMPLES = 3
#: Seconds after which a request no longer shows anything, so that the upstream
#: is tried again.
MEMORY = 3.0
#: Work differs by so much from request to request without any cause.
USUAL_SPREAD = 1.5
MOST = 20.0


@dataclass(slots=True)
class Running:
    """A request at an upstream; ``expected`` is how long it should take."""

    since: float
    expected: float


@dataclass(slots=True)
class ObservedSlowdown:
    """Compares how long requests take with how long they should.

    Times are monotonic seconds.
    """

    last_ticket: int = 0
    running: dict[int, Running] = field(default_factory=dict)
    ratios: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=SAMPLES)
    )

    def start(self, now: float, expected: float) -> int:
        """Record a request that is sent; the ticket identifies its end."""
        self.last_ticket += 1
        self.running[self.last_ticket] = Running(now, expected)
        return self.last_ticket

    def end(self, ticket: int, now: float, *, answered: bool) -> float:
        """Forget a request; one that was answered shows the speed.

        Returns how long it took, relative to the expected.
        """
        running = self.running.pop(ticket)
        ratio = min((now - running.since) / running.expected, MOST)
        # One that was not answered only shows that it took at least as long.
        if answered or ratio > USUAL_SPREAD:
            self.ratios.append((now, ratio))
        return ratio

    def factor(self, now: float) -> float:
        """Return how much longer work takes than expected, at least 1."""
        if len(self.ratios) < SAMPLES or self.ratios[0][0] < now - MEMORY:
            return 1
        least = min(ratio for _, ratio in self.ratios)
        return max(least / USUAL_SPREAD, 1)
