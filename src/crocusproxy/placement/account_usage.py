"""How much capacity client accounts usually use, as a weight for fair queueing.

An account that sends more than usual has a weight below its present load, so
that its own requests wait rather than those of others.
"""

from dataclasses import dataclass
from math import exp

#: Averaging time of the usual use; longer than the burst of an account.
USUAL_SECONDS = 300.0
#: Time over which the present use is averaged.
CURRENT_SECONDS = 2.0
#: Lowest weight relative to the present use, so that an account far above its
#: usual use is still served at least a quarter as often as all accounts.
MIN_CURRENT_SHARE = 0.35
#: Shortest time over which use is averaged after a start.
MIN_AGE_SECONDS = 0.5
#: Accounts that are remembered for each service.
MAX_ACCOUNTS = 100_000
#: Slots; keeps divisions by the weight of an unknown account finite.
_MIN_WEIGHT = 1e-6


@dataclass(slots=True)
class Usage:
    """Decayed sums of service seconds of one account."""

    usual: float
    current: float
    counted_at: float

    def add(self, seconds: float, now: float) -> None:
        """Count the service seconds of a request."""
        elapsed = now - self.counted_at
        self.usual = self.usual * exp(-elapsed / USUAL_SECONDS) + seconds
        self.current = self.current * exp(-elapsed / CURRENT_SECONDS) + seconds
        self.counted_at = now


class AccountUsage:
    """The use of one service by each account, in slots."""

    def __init__(self) -> None:
        self.accounts: dict[str, Usage] = {}
        self.started_at: float | None = None

    def count(self, account: str, seconds: float, now: float) -> None:
        """Count a request with its service time."""
        if self.started_at is None:
            self.started_at = now
        # The accounts are kept in order of their latest request.
        usage = self.accounts.pop(account, None) or Usage(0, 0, now)
        usage.add(seconds, now)
        self.accounts[account] = usage
        if len(self.accounts) > MAX_ACCOUNTS:
            self.accounts.pop(next(iter(self.accounts)))

    def weight(self, account: str, now: float) -> float:
        """Return the slots that the account usually uses."""
        usage = self.accounts.get(account)
        if usage is None or self.started_at is None:
            return _MIN_WEIGHT
        age = max(now - self.started_at, MIN_AGE_SECONDS)
        usual = usage.usual / _effective_seconds(USUAL_SECONDS, age)
        current = usage.current / _effective_seconds(CURRENT_SECONDS, age)
        return max(usual, MIN_CURRENT_SHARE * current, _MIN_WEIGHT)


def _effective_seconds(decay_seconds: float, age: float) -> float:
    """Return the sum of the weights of all moments since the start."""
    return decay_seconds * (1 - exp(-age / decay_seconds))
