"""Budget that limits retries and hedges to a share of the calls."""

_INITIAL_TOKENS = 2
_MAX_TOKENS = 10


class RetryBudget:
    """Token bucket that limits retries and hedges to ``share`` per call.

    A call is a request of a caller, however many attempts it takes. Each
    retry or hedge costs one token. At most 10 unspent tokens are kept, so that
    a quiet hour does not allow a retry storm later.

    >>> budget = RetryBudget(0.0)
    >>> [budget.try_spend() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = float(_INITIAL_TOKENS)

    def record_call(self) -> None:
        """Add the share of one call; not called for retries and hedges."""
        self.tokens = min(self.tokens + self.share, _MAX_TOKENS)

    def try_spend(self) -> bool:
        """Spend one token; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
