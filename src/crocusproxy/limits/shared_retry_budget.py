"""Retry budget of all instances that needs no coordination among them.

The ratio is the number of retries that the budget allows per request.
"""

from collections import deque

#: Share of the ratio that may be spent only shortly after the requests.
IMMEDIATE_SHARE = 0.7
#: Share of the ratio kept for bursts of failures. Reserve tokens live for a
#: whole window, so the retries in one window can spend the tokens granted in it
#: and in the one before. The share therefore counts twice: 0.7 + 2 * 0.15 = 1.
RESERVE_SHARE = 0.15
#: Lifetime of immediate tokens; a short one, so that few are spent in a window
#: that does not contain the requests.
IMMEDIATE_SECONDS = 0.5


class ExpiringTokens:
    """Token bucket whose tokens expire after ``lifetime`` seconds.

    Each request grants ``share`` tokens. At most ``limit`` tokens are kept.
    ``partial_token`` is the unspent rest of the grants already removed.
    """

    def __init__(self, share: float, lifetime: float, limit: float) -> None:
        self.share = share
        self.lifetime = lifetime
        self.max_grants = int(limit / share) if share else 0
        self.grants: deque[float] = deque()
        self.partial_token = float()

    def grant(self, now: float) -> None:
        """Add the share of one request at monotonic second ``now``."""
        self._expire(now)
        self.grants.append(now)
        if len(self.grants) > self.max_grants:
            self.grants.popleft()

    def spend(self, now: float) -> bool:
        """Spend one token, oldest first; return False if there is none."""
        self._expire(now)
        if self.partial_token + self.share * len(self.grants) < 1:
            return False
        while self.partial_token < 1:
            self.grants.popleft()
            self.partial_token += self.share
        self.partial_token -= 1
        return True

    def _expire(self, now: float) -> None:
        while self.grants and self.grants[0] < now - self.lifetime:
            self.grants.popleft()


class SharedRetryBudget:
    """Bounds the retries for one service in any window of ``window`` seconds.

    All instances together may send ``ratio`` of the requests in a window plus
    ``slack`` retries. Each instance spends only the tokens that its own
    requests grant, so the sum holds for any division of the requests among
    instances. A window can also contain retries that were granted by requests
    up to ``IMMEDIATE_SECONDS`` before it. The slack covers them: it must be at
    least ``ratio`` times the requests of that time.
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

    def count_forwarded(self, now: float) -> None:
        """Record a request that another instance dispatches for this one.

        The two grant the parts of one request: this one may have to send it
        again if the other is lost.
        """
        self.reserve.grant(now)

    def count_received(self, now: float) -> None:
        """Record a request that another instance has forwarded."""
        self.immediate.grant(now)

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return False if none is left in the budget."""
        return self.immediate.spend(now) or self.reserve.spend(now)
