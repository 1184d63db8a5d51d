"""Quotas of client accounts, as token buckets over all instances together.

Pure: the caller passes the monotonic time in seconds. docs/design/quotas.md has
the derivation of the limits.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from ..routes.model import ClientAccount
from .quota_division import (
    Division,
    PartOfQuota,
    SharedQuota,
    SplitQuota,
    WholeQuota,
)

#: Part of the overage that domain homes may take before they have reported it.
UNREPORTED_SHARE = 0.2
#: Part of the overage for instances that follow the successor of a home later
#: than most, and use their part of a quota until then.
LATE_FOLLOWER_SHARE = 0.2
#: The quotas of a successor grow from then on. Until the instances follow it,
#: they use their parts.
SUCCESSION_SECONDS = 0.2
#: A home and its successor may both be lost within one window.
_LOSSES_PER_WINDOW = 2
#: At each loss, the instances without a home start with tokens, and then the
#: successor does. Neither knows what the other or the lost home has admitted.
_STARTS_PER_LOSS = 2
#: Part of the overage that a new bucket starts with, so that all starts within
#: a window stay within the quota.
START_SHARE = (1 - UNREPORTED_SHARE - LATE_FOLLOWER_SHARE) / (
    _LOSSES_PER_WINDOW * _STARTS_PER_LOSS
)
#: Time after which a token that only waits for reports is expected.
REPORT_WAIT_SECONDS = 0.1
#: A rejected caller of an instance without a home returns within this time,
#: since there is a home again by then.
MAX_PART_WAIT_SECONDS = 1.0
#: With fewer buckets, those of removed accounts are kept.
MIN_BUCKETS_TO_PRUNE = 1000
_ROUNDING_ERROR = 1e-9


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Limits of what all instances together may let through in excess.

    In any ``window`` (seconds) it is the share ``overage`` of the quota and
    ``slack`` requests.
    """

    window: float
    overage: float
    slack: float

    def excess(self, account: ClientAccount) -> float:
        """Return the permitted excess of an account in requests."""
        quota = account.rate * self.window + account.burst
        return self.overage * quota + self.slack


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the quota and has taken a token."""


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The request must not run; a token is expected after ``retry_after``."""

    retry_after: timedelta


@dataclass(slots=True)
class Bucket:
    """Tokens of one account at monotonic second ``updated_at``.

    The latest rejected caller was told to return at second ``returns_at``.
    """

    tokens: float
    updated_at: float
    returns_at: float = 0

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add the tokens since the last update."""
        elapsed = max(now - self.updated_at, 0)
        self.tokens = min(self.tokens + elapsed * rate, capacity)
        self.updated_at = max(now, self.updated_at)


class AccountQuotas:
    """Decides which requests are within the quota of their account.

    ``unreported`` returns the tokens of an account that this instance has taken
    and that some domain home does not know of, and ``on_take`` receives the
    account and the number of tokens, negative for a refund. ``has_limits`` is
    whether some account has a quota.
    """

    def __init__(self, bounds: QuotaBounds, random: Random) -> None:
        self.bounds = bounds
        self.random = random
        self.division: Division = PartOfQuota(1)
        self.accounts: dict[str, ClientAccount] = {}
        self.has_limits = False
        self.buckets: dict[str, Bucket] = {}
        self.part_buckets: dict[str, Bucket] = {}
        self.started_at = float()
        self.start_share = 1.0
        self.indebted: set[str] = set()
        self.unreported: Callable[[str], float] = _none_unreported
        self.on_take: Callable[[str, int], None] = _skip_take

    def apply_accounts(
        self, accounts: Iterable[ClientAccount], now: float
    ) -> None:
        """Use the quotas of a new configuration from now on."""
        self.accounts = {account.name: account for account in accounts}
        self.has_limits = any(
            account.rate for account in self.accounts.values()
        )
        limit = max(2 * len(self.accounts), MIN_BUCKETS_TO_PRUNE)
        if len(self.buckets) > limit:
            # No window contains both earlier requests and later ones.
            earliest = now - self.bounds.window
            self.buckets = {
                name: bucket
                for name, bucket in self.buckets.items()
                if name in self.accounts or bucket.updated_at > earliest
            }

    def apply_division(self, division: Division, now: float) -> None:
        """Apply how the quotas are divided among the instances."""
        previous = self.division
        if division == previous:
            return
        match previous, division:
            case PartOfQuota(generation=earlier), PartOfQuota():
                if division.generation != earlier:
                    # Parts that had grown under the home would come on top of
                    # what it has admitted.
                    self.part_buckets.clear()
                self.division = division
                return
            case _, PartOfQuota():
                self.part_buckets.clear()
            case PartOfQuota(), _:
                self._limit_to_start(now)
            case SplitQuota(), _:
                self._begin_buckets(now, 1 / previous.homes)
            case _, SplitQuota(homes=homes):
                self._split(homes, now)
        self._refill_all(now)
        self.division = division

    def admit(self, account: ClientAccount, now: float) -> Admitted | OverQuota:
        """Take a token for a request, if there is one."""
        if not account.rate:
            return Admitted()
        bucket = self._bucket(account, now)
        wait = self._seconds_to_token(account, bucket)
        if wait > 0:
            return self._reject(account, bucket, now, wait)
        self._take(account, bucket, 1)
        return Admitted()

    def refund(self, account: ClientAccount, now: float) -> None:
        """Return the token of a request that has not run and never will."""
        if account.rate:
            self._take(account, self._bucket(account, now), -1)

    def charge(self, account: ClientAccount, now: float) -> None:
        """Take a token for a repetition of a request, even if there is none."""
        if account.rate:
            self._take(account, self._bucket(account, now), 1)

    def apply_takes(self, name: str, tokens: int, now: float) -> None:
        """Subtract tokens that another domain home has taken.

        In a split quota each one takes its own tokens.
        """
        account = self.accounts.get(name)
        is_shared = isinstance(self.division, SharedQuota | WholeQuota)
        if account is not None and account.rate and is_shared:
            bucket = self._bucket(account, now)
            bucket.tokens -= tokens
            self._note_debt(account, bucket)

    def count_indebted(self, now: float) -> int:
        """Return the number of buckets in debt."""
        for name in tuple(self.indebted):
            account = self.accounts.get(name)
            if account is None or self._bucket(account, now).tokens >= 0:
                self.indebted.discard(name)
        return len(self.indebted)

    def _bucket(self, account: ClientAccount, now: float) -> Bucket:
        """Return the bucket of an account, filled up to now."""
        is_part = isinstance(self.division, PartOfQuota)
        buckets = self.part_buckets if is_part else self.buckets
        bucket = buckets.get(account.name)
        if bucket is None:
            bucket = self._new_bucket(account, now)
            buckets[account.name] = bucket
        share = self._share()
        capacity = max(account.burst * share, 1)
        bucket.refill(account.rate * share, capacity, now)
        return bucket

    def _new_bucket(self, account: ClientAccount, now: float) -> Bucket:
        """Return a bucket as if it had existed since the start."""
        start = self._start_tokens(account)
        if isinstance(self.division, PartOfQuota):
            part = self.division.part_of(int(start), account.name)
            return Bucket(part, now)
        return Bucket(start * self.start_share, self.started_at)

    def _start_tokens(self, account: ClientAccount) -> float:
        capacity = max(account.burst, 1)
        return min(capacity, START_SHARE * self.bounds.excess(account))

    def _share(self) -> float:
        division = self.division
        if isinstance(division, SplitQuota):
            return 1 / division.homes
        if isinstance(division, PartOfQuota):
            return 1 / division.members
        return 1.0

    def _seconds_to_token(
        self, account: ClientAccount, bucket: Bucket
    ) -> float:
        """Return the seconds until a token is expected, 0 if there is one."""
        missing = 1 - bucket.tokens - _ROUNDING_ERROR
        if missing > 0:
            wait = missing / (account.rate * self._share())
            if isinstance(self.division, PartOfQuota):
                return min(wait, MAX_PART_WAIT_SECONDS)
            return wait
        if isinstance(self.division, SharedQuota):
            homes = self.division.homes
            if self.unreported(account.name) <= 0:
                # One token is always free, whatever the size of its share.
                return 0
            permitted_debt = UNREPORTED_SHARE * self.bounds.excess(account)
            reserve = self._reserve(account.name, bucket, homes)
            if reserve + permitted_debt / homes < 1:
                return REPORT_WAIT_SECONDS
        return 0

    def _reserve(self, name: str, bucket: Bucket, homes: int) -> float:
        """Return how many tokens are safe without any further report.

        If each domain home takes no more, they take no more than there are.
        """
        unreported = max(self.unreported(name), 0)
        return (bucket.tokens + unreported) / homes - unreported

    def _reject(
        self, account: ClientAccount, bucket: Bucket, now: float, wait: float
    ) -> OverQuota:
        """Let rejected callers return one after the other."""
        earliest = now + wait
        rate = account.rate
        if isinstance(self.division, SplitQuota):
            rate *= self._share()
        interval = 1 / rate
        bucket.returns_at = max(bucket.returns_at + interval, earliest)
        latest = earliest + self.bounds.window
        if bucket.returns_at > latest:
            # There are more callers than tokens within the window.
            bucket.returns_at = self.random.uniform(earliest, latest)
        return OverQuota(timedelta(seconds=bucket.returns_at - now))

    def _take(self, account: ClientAccount, bucket: Bucket, count: int) -> None:
        bucket.tokens -= count
        if count > 0:
            self._note_debt(account, bucket)
        if not isinstance(self.division, PartOfQuota):
            self.on_take(account.name, count)

    def _note_debt(self, account: ClientAccount, bucket: Bucket) -> None:
        if bucket.tokens < 0:
            self.indebted.add(account.name)

    def _limit_to_start(self, now: float) -> None:
        """Begin to dispatch; another instance may have used the quotas."""
        self.division = WholeQuota()
        self._refill_all(now)
        grows_from = now + SUCCESSION_SECONDS
        for name, bucket in self.buckets.items():
            account = self.accounts.get(name)
            if account is not None:
                start = self._start_tokens(account)
                bucket.tokens = min(bucket.tokens, start)
                bucket.updated_at = grows_from
        self._begin_buckets(grows_from, 1)

    def _split(self, homes: int, now: float) -> None:
        """Keep the tokens that are safe without reports."""
        self._refill_all(now)
        for name, bucket in self.buckets.items():
            bucket.tokens = self._reserve(name, bucket, homes)
        self._begin_buckets(now, 1 / homes)

    def _begin_buckets(self, now: float, share: float) -> None:
        """Let new buckets start now, with a share of the usual tokens."""
        self.started_at = now
        self.start_share = share

    def _refill_all(self, now: float) -> None:
        """Fill the buckets by the division that is in force."""
        if isinstance(self.division, PartOfQuota):
            return
        for name in tuple(self.buckets):
            account = self.accounts.get(name)
            if account is not None:
                self._bucket(account, now)


def _none_unreported(name: str) -> float:
    """Treat all tokens as reported, as without other domain homes."""
    return 0


def _skip_take(name: str, count: int) -> None:
    """Report to nobody, as without other domain homes."""
