"""Detection of slow upstreams from the durations of their requests.

Covers single servers that are several times slower for seconds while they
report their usual speed and pass their health check.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf

#: Consecutive slow requests after which an upstream counts as slow. A single
#: slow request is not enough: the speed of a healthy upstream also varies
#: while a request runs.
REQUIRED_SAMPLES = 3
#: Age above which a sample is ignored, so that the upstream is tried again.
SAMPLE_LIFETIME_SECONDS = 3.0
#: Highest ratio of actual to expected duration within the normal variation.
NORMAL_SPREAD = 1.5
#: Upper limit of the ratio that a single request is recorded with.
MAX_RATIO = 20.0
#: Lowest ratio of a request that a hedge at another upstream has overtaken. Its
#: age is only a lower bound and would hide an upstream whose slow requests are
#: all hedged, so that several in a row must count as slowness.
OVERTAKEN_RATIO = 3.5


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
    the latest samples, and ``level`` is the slowdown that they show until
    ``level_until``. Times are monotonic seconds.
    """

    last_ticket: int = 0
    running: dict[int, RunningRequest] = field(default_factory=dict)
    ratios: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=REQUIRED_SAMPLES)
    )
    level: float = 1
    level_until: float = -inf

    def start(self, now: float, expected_seconds: float) -> int:
        """Record a sent request; return its ticket, to be passed to ``end``."""
        self.last_ticket += 1
        self.running[self.last_ticket] = RunningRequest(now, expected_seconds)
        return self.last_ticket

    def end(self, ticket: int, now: float, *, answered: bool) -> float:
        """Remove a request and return its ratio of actual to expected duration.

        The ratio is a sample if the request was answered, or if it ran longer
        than the normal variation explains.
        """
        ratio = self._remove(ticket, now)
        # An unanswered request only gives a lower bound of its duration.
        if answered or ratio > NORMAL_SPREAD:
            self._add(now, ratio)
        return ratio

    def supersede(self, ticket: int, now: float) -> None:
        """Remove a request that a hedge has overtaken."""
        ratio = self._remove(ticket, now)
        if ratio > NORMAL_SPREAD:
            self._add(now, max(ratio, OVERTAKEN_RATIO))

    def discard(self, ticket: int) -> None:
        """Remove a request without a sample."""
        self.running.pop(ticket)

    def slowdown(self, now: float) -> float:
        """Return how many times slower than expected the upstream is.

        This is the lowest ratio of the samples, divided by the normal spread;
        1 if the samples are too few or too old.
        """
        return self.level if now <= self.level_until else 1

    def _add(self, now: float, ratio: float) -> None:
        """Add a sample; each choice of an upstream asks for the result."""
        self.ratios.append((now, ratio))
        if len(self.ratios) < REQUIRED_SAMPLES:
            return
        lowest = min(one for _, one in self.ratios)
        self.level = max(lowest / NORMAL_SPREAD, 1)
        self.level_until = self.ratios[0][0] + SAMPLE_LIFETIME_SECONDS

    def _remove(self, ticket: int, now: float) -> float:
        running = self.running.pop(ticket)
        ratio = (now - running.started_at) / running.expected_seconds
        return min(ratio, MAX_RATIO)
