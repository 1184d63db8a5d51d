"""Token bucket for an upstream that states a rate limit."""

#: A lower stated rate is raised to this one, so that a request now and then
#: learns whether the limit has ended.
MIN_RATE_PER_SECOND = 0.1
#: Tokens that are kept while no request comes, in seconds of the rate. The
#: successor of a home begins with as many, so few are kept.
BURST_SECONDS = 0.25
_ROUNDING_ERROR = 1e-9


class RateLimiter:
    """Permits ``rate`` requests per second, and short bursts.

    Times are monotonic seconds. The bucket begins empty, since the upstream
    has had requests without a limit until ``now``, which may be in the future.
    ``burst`` is the number of tokens that are kept, None for
    ``BURST_SECONDS`` of the rate.
    """

    def __init__(
        self, rate: float, now: float, burst: float | None = None
    ) -> None:
        self.rate = max(rate, MIN_RATE_PER_SECOND)
        self.burst = burst
        self.tokens = float()
        self.updated_at = now

    def change_rate(self, rate: float, now: float) -> None:
        """Use another rate from now on."""
        self._refill(now)
        self.rate = max(rate, MIN_RATE_PER_SECOND)
        self.tokens = min(self.tokens, self._burst())

    def next_at(self, now: float) -> float:
        """Return when a request is permitted, ``now`` at the earliest."""
        self._refill(now)
        return now + max(1 - self.tokens - _ROUNDING_ERROR, 0) / self.rate

    def take(self, now: float) -> None:
        """Count a sent request."""
        self._refill(now)
        self.tokens -= 1

    def _refill(self, now: float) -> None:
        elapsed = max(now - self.updated_at, 0)
        self.tokens = min(self.tokens + elapsed * self.rate, self._burst())
        self.updated_at = max(now, self.updated_at)

    def _burst(self) -> float:
        if self.burst is not None:
            return self.burst
        return max(1, BURST_SECONDS * self.rate)
