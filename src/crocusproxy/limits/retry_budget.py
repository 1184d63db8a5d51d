"""Retries and hedges as a share of calls, so that they cannot add up."""

_INITIAL = 2
_MAX_SAVED = 10


class RetryBudget:
    """Grants ``share`` of the recorded calls as further attempts.

    At most 10 unspent attempts are kept, so that a quiet hour does not pay for
    a storm of retries later.

    >>> budget = RetryBudget(0.0)
    >>> [budget.try_spend() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = float(_INITIAL)

    def record_call(self) -> None:
        """Count one call from a caller; retries are not calls."""
        self.tokens = min(self.tokens + self.share, _MAX_SAVED)

    def try_spend(self) -> bool:
        """Take one attempt out of the budget, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
