"""Retry budget of all instances that needs no coordination among them."""

from collections import deque

#: Share of the ratio that may be spent soon after the requests that grant it.
IMMEDIATE_SHARE = 0.7
#: Share of the ratio kept for bursts of failures. It may be spent a whole
#: window later and so counts twice: 0.7 and twice 0.15 add up to the ratio.
RESERVE_SHARE = 0.15
#: Lifetime of immediate tokens; a short one, so that few are spent in a window
#: that does not contain the requests.
IMMEDIATE_SECONDS = 0.5


class ExpiringTokens:
    """Token bucket whose tokens expire after ``lifetime`` seconds.

    Each request grants ``share`` tokens. At most ``limit`` are kept.
    """

    def __init__(self, share: float, lifetime: float, limit: float) -> None:
        self.share = share
        self.lifetime = lifetime
        self.max_grants = int(limit / share) if share else 0
        self.grants: deque[float] = deque()
        self.remainder = float()

    def grant(self, now: float) -> None:
        """Add the share of one request at monotonic second ``now``."""
        self._expire(now)
        self.grants.append(now)
        if len(self.grants) > self.max_grants:
            self.grants.popleft()

    def spend(self, now: float) -> bool:
        """Spend one token, oldest first; return False if there is none."""
        self._expire(now)
        if self.remainder + self.share * len(self.grants) < 1:
            return False
        while self.remainder < 1:
            self.grants.popleft()
            self.remainder += self.share
        self.remainder -= 1
        return True

    def _expire(self, now: float) -> None:
        while self.grants and self.grants[0] < now - self.lifetime:
            self.grants.popleft()


class SharedRetryBudget:
    """Bounds the retries for one service in any window of ``window`` seconds.

    All instances together may send ``ratio`` of the requests in a window plus
    ``slack`` retries. Each instance spends only the tokens that its own
    requests grant, so the sum holds for any division of the requests among
    instances. The slack covers retries of requests from shortly before the
    window: it must be at least ``ratio`` of the requests of half a second.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.immediate = ExpiringTokens(
            IMMEDIATE_SHARE * ratio, IMMEDIATE_SECONDS, slack
        )
        self.reserve = ExpiringTokens(RESERVE_SHARE * ratio, window, slack)

    def count_request(self, now: float) -> None:
        """Record a request of a caller at monotonic second ``now``."""
        self.immediate.grant(now)
        self.reserve.grant(now)

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return False if none is left in the budget."""
        return self.immediate.spend(now) or self.reserve.spend(now)
