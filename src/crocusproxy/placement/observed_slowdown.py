"""Detection of slow upstreams from the durations of their requests.

Covers single servers that are several times slower for seconds while they
report their usual speed and pass their health check.
"""

from collections import deque
from dataclasses import dataclass, field

#: Consecutive slow requests after which an upstream counts as slow. A single
#: one is no sign, since the speed of all upstreams varies within a request.
SAMPLES = 3
#: Age at which a sample is ignored, so that the upstream is tried again.
MEMORY_SECONDS = 3.0
#: Ratio of actual to expected time that normal variation of work explains.
NORMAL_SPREAD = 1.5
#: Limit of the ratio of a single request.
MAX_RATIO = 20.0


@dataclass(slots=True)
class RunningRequest:
    """A request in flight at an upstream.

    ``started_at`` is in monotonic seconds; ``expected_seconds`` is the expected
    duration.
    """

    started_at: float
    expected_seconds: float


@dataclass(slots=True)
class ObservedSlowdown:
    """Compares the durations of requests with the expected ones.

    ``ratios`` holds the end and the ratio of actual to expected duration of
    the latest samples. Times are monotonic seconds.
    """

    last_ticket: int = 0
    running: dict[int, RunningRequest] = field(default_factory=dict)
    ratios: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=SAMPLES)
    )

    def start(self, now: float, expected_seconds: float) -> int:
        """Record a sent request and return the ticket for its end."""
        self.last_ticket += 1
        self.running[self.last_ticket] = RunningRequest(now, expected_seconds)
        return self.last_ticket

    def end(self, ticket: int, now: float, *, answered: bool) -> float:
        """Remove a request and record its ratio if it shows the speed.

        Returns the ratio of its actual to its expected duration.
        """
        running = self.running.pop(ticket)
        ratio = min(
            (now - running.started_at) / running.expected_seconds, MAX_RATIO
        )
        # An unanswered request only gives a lower bound of its duration.
        if answered or ratio > NORMAL_SPREAD:
            self.ratios.append((now, ratio))
        return ratio

    def factor(self, now: float) -> float:
        """Return the ratio of actual to expected time, at least 1."""
        if (
            len(self.ratios) < SAMPLES
            or self.ratios[0][0] < now - MEMORY_SECONDS
        ):
            return 1
        lowest = min(ratio for _, ratio in self.ratios)
        return max(lowest / NORMAL_SPREAD, 1)
