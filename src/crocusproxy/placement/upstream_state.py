"""What is known of one upstream, and what that says about the next request."""

from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, inf

from ..routes.model import RegisteredUpstream
from .observed_slowdown import ObservedSlowdown

#: Seconds after which a reported slowdown has lost 63 % of its weight.
SLOWDOWN_MEMORY = 0.07
#: A slowdown from which on another upstream is looked for.
SLOW_THRESHOLD = 2.0
#: Cost of an upstream of which nothing is known: it is asked before it is used.
TYPICAL_SLOWDOWN = 1.2
#: Share of the slots from which on an upstream counts as nearly full.
NEARLY_FULL = 0.8
#: Extra time, relative to the usual, of work on a nearly full upstream.
FULL_SLOWDOWN = 0.7
#: Seconds that a request to another failure domain takes longer.
REMOTE_SECONDS = 0.003
#: Cost of the bytes to another failure domain, relative to the work.
REMOTE_COST = 0.25
#: Extra cost of a full upstream, relative to the work.
BUSY_COST = 0.1
#: Share of an upstream's failure rate that one more response replaces.
FAILURE_WEIGHT = 0.2
FIRST_REST = 0.1  # seconds
LONGEST_REST = 2.0  # seconds
SHED_REST = 0.03  # seconds
COLD_SLOWDOWN = 2.0
_SURE_FAILURE = 0.95
_LEAST_SLOWDOWN = 0.1


@dataclass(slots=True, eq=False)
class UpstreamState:
    """Requests in flight and the latest signs of one upstream.

    ``slowdown`` is how long work takes, relative to the usual, as reported at
    ``reported_at``. Until ``backoff_until`` the
    upstream gets no request. Times are monotonic seconds.
    """

    entry: RegisteredUpstream
    is_remote: bool
    cold_until: float = -inf
    reported_at: float = -inf
    slowdown: float = TYPICAL_SLOWDOWN
    failure_rate: float = 0
    failures_in_row: int = 0
    backoff_until: float = -inf
    probed_at: float = -inf
    is_removed: bool = False
    observed: ObservedSlowdown = field(default_factory=ObservedSlowdown)

    @property
    def key(self) -> str:
        """Return the key of the upstream."""
        return self.entry.key

    @property
    def is_usable(self) -> bool:
        """Return whether new requests may be sent here."""
        return not self.is_removed and not self.entry.leaving

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and have not ended."""
        return len(self.observed.running)

    @property
    def has_slot(self) -> bool:
        """Return whether one more request would run at once."""
        return len(self.observed.running) < self.entry.slots

    def report(self, slowdown: float, now: float) -> None:
        """Take in a reported slowdown."""
        self.slowdown = max(slowdown, _LEAST_SLOWDOWN)
        self.reported_at = now

    def expected_slowdown(self, now: float) -> float:
        """Return how long work is expected to take, relative to the usual."""
        weight = exp((self.reported_at - now) / SLOWDOWN_MEMORY)
        unknown = TYPICAL_SLOWDOWN
        if now < self.cold_until:
            unknown *= COLD_SLOWDOWN
        return weight * self.slowdown + (1 - weight) * unknown

    def is_slow(self, now: float) -> bool:
        """Return whether the upstream is probably slow."""
        return (
            self.expected_slowdown(now) * self.observed.factor(now)
            > SLOW_THRESHOLD
        )

    def expected_time(self, work: float, now: float) -> float:
        """Return the seconds until one more request is expected to be done.

        ``work`` is the time that it takes at the usual speed.
        """
        # Work keeps the speed with which it began, also if the upstream's
        # speed changes meanwhile.
        time = work * self.expected_slowdown(now) * self.observed.factor(now)
        if self.in_flight + 1 >= NEARLY_FULL * self.entry.slots:
            time *= 1 + FULL_SLOWDOWN
        return time

    def cost(self, work: float, now: float) -> float:
        """Return the expected time with the risk of a failure, in seconds."""
        time = self.expected_time(work, now)
        time += BUSY_COST * work * self.in_flight / self.entry.slots
        time /= 1 - min(self.failure_rate, _SURE_FAILURE)
        return time + (REMOTE_SECONDS + REMOTE_COST * work) * self.is_remote

    def succeeded(self) -> None:
        """Record a complete response."""
        self.failures_in_row = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def failed(self, now: float) -> None:
        """Record a failure; more of them in a row make longer rests."""
        self.failures_in_row += 1
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
        rest = FIRST_REST * 2 ** min(self.failures_in_row - 1, 5)
        self.backoff_until = now + min(rest, LONGEST_REST)

    def shed(self, now: float, retry_after: timedelta | None) -> None:
        """Record that the upstream did not run a request."""
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate) / 2
        rest = SHED_REST
        if retry_after is not None:
            rest = min(retry_after.total_seconds(), LONGEST_REST)
        self.backoff_until = max(self.backoff_until, now + rest)
