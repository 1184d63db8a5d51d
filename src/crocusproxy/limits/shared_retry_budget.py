"""A budget of repeats that all instances share without telling each other."""

from collections import deque

#: Share of the ratio that may be spent soon after the requests that grant it.
FRESH_SHARE = 0.7
#: Share of it that is saved for bursts of failures. What is saved may be spent
#: a whole window later, so it counts twice: 0.7 and twice 0.15 make the ratio.
SAVED_SHARE = 0.15
#: What is granted for immediate use lapses after so many seconds, so that
#: little of it is spent in a window that does not hold the requests.
FRESH_SECONDS = 0.5


class ExpiringTokens:
    """Tokens of which each request grants ``share``, for ``lifetime`` seconds.

    Each one is spent once. At most ``limit`` are kept.
    """

    def __init__(self, share: float, lifetime: float, limit: float) -> None:
        self.share = share
        self.lifetime = lifetime
        self.most_grants = int(limit / share) if share else 0
        self.grants: deque[float] = deque()
        self.change = float()

    def grant(self, now: float) -> None:
        """Add what one request grants at second ``now``."""
        self._expire(now)
        self.grants.append(now)
        if len(self.grants) > self.most_grants:
            self.grants.popleft()

    def spend(self, now: float) -> bool:
        """Spend one token, the oldest first; False if there is none."""
        self._expire(now)
        if self.change + self.share * len(self.grants) < 1:
            return False
        while self.change < 1:
            self.grants.popleft()
            self.change += self.share
        self.change -= 1
        return True

    def _expire(self, now: float) -> None:
        while self.grants and self.grants[0] < now - self.lifetime:
            self.grants.popleft()


class SharedRetryBudget:
    """Bounds the repeats for one service within any window of ``window``.

    ``ratio`` of the requests and ``slack`` repeats are allowed in a window of
    that many seconds, summed over all instances. Each instance spends only what
    its own requests grant, so the sum holds however the requests are divided
    among them. The slack covers repeats of requests from shortly before the
    window: it must be at least ``ratio`` of those of half a second.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.fresh = ExpiringTokens(FRESH_SHARE * ratio, FRESH_SECONDS, slack)
        self.saved = ExpiringTokens(SAVED_SHARE * ratio, window, slack)

    def count_request(self, now: float) -> None:
        """Count a request of a caller at monotonic second ``now``."""
        self.fresh.grant(now)
        self.saved.grant(now)

    def try_spend(self, now: float) -> bool:
        """Count one repeat if it is within the budget."""
        return self.fresh.spend(now) or self.saved.spend(now)
