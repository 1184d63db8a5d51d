"""What upstreams have asked for in their responses.

A rate limit and the announcement of leaving bind all instances; a backoff binds
only the instance that got the response which asked for it.

Terms belong to an incarnation of an upstream and outlive its entry in the list
of upstreams, as an entry can expire and come back while its upstream lives on.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import inf
from typing import ClassVar

from ..limits.rate_limiter import MIN_RATE_PER_SECOND, RateLimiter
from ..protocol.home_feed import StatedTerms
from ..routes.model import RegisteredUpstream
from .change_notifier import ChangeNotifier
from .warm_up import WarmUp

#: Incarnations whose terms are kept, also after their entries are removed.
MAX_INCARNATIONS = 20_000


@dataclass(slots=True)
class UpstreamTerms(ChangeNotifier):
    """Terms of one incarnation of an upstream.

    ``rate_limit`` is the number of requests per second that the upstream takes
    from all instances together, None without limit; ``limiter`` then permits
    the requests of this instance. While the upstream is cold, ``warm_up``
    limits them too, and the lower limit applies. ``is_leaving`` does not end:
    only another incarnation takes requests again. Until ``backoff_until`` it
    wants nothing from this instance. ``limit_logged_at`` is when a change of
    the limit was last logged. Times are monotonic seconds.
    """

    # These have no effect on the cost.
    unwatched: ClassVar[frozenset[str]] = frozenset(
        ('on_change', 'limit_logged_at')
    )

    rate_limit: float | None = None
    limiter: RateLimiter | None = None
    is_leaving: bool = False
    backoff_until: float = -inf
    limit_logged_at: float = -inf
    warm_up: WarmUp = field(default_factory=WarmUp)

    def apply_rate_limit(self, limit: float | None, now: float) -> None:
        """Apply a stated limit, or the end of one."""
        self.rate_limit = limit
        if limit is None:
            self.limiter = None
        elif self.limiter is None:
            self.limiter = RateLimiter(limit, now)
        else:
            self.limiter.change_rate(limit, now)

    def next_request_at(self, now: float) -> float:
        """Return when a request is permitted, ``now`` at the earliest."""
        earliest = max(self.warm_up.next_at(now), self.backoff_until)
        if self.limiter is None:
            return earliest
        return max(earliest, self.limiter.next_at(now))

    def lowest_rate(self, now: float) -> float | None:
        """Return the rate that applies, None without limit."""
        rates = [] if self.limiter is None else [self.limiter.rate]
        if self.warm_up.is_cold(now):
            rates.append(max(self.warm_up.rate, MIN_RATE_PER_SECOND))
        return min(rates, default=None)

    def request_backoff(self, seconds: float, now: float) -> None:
        """Apply a requested backoff; it does not shorten an earlier one."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def count_request(self, now: float) -> None:
        """Count a request that is sent."""
        if self.limiter is not None:
            self.limiter.take(now)
        if self.warm_up.rate:
            self.warm_up.count_request(now)


#: Receives changed terms, and whether this instance has got them from the
#: upstream rather than from another instance.
TermsListener = Callable[[StatedTerms, bool], None]


class TermsTable:
    """The terms of the latest known incarnation of each upstream."""

    def __init__(self) -> None:
        self.incarnations: dict[str, tuple[int, UpstreamTerms]] = {}
        self.on_change: list[TermsListener] = []

    def terms(self, entry: RegisteredUpstream) -> UpstreamTerms:
        """Return the terms of an incarnation, created on first use."""
        return self.terms_of(entry.key, entry.started_at)

    def terms_of(self, key: str, started_at: int) -> UpstreamTerms:
        """Return the terms by key and start.

        Those of an earlier start than the latest one are new and not kept.
        """
        known_start, terms = self.incarnations.get(key, (started_at, None))
        if terms is not None and known_start == started_at:
            return terms
        created = UpstreamTerms()
        if known_start <= started_at:
            self._keep(key, started_at, created)
        return created

    def apply(self, stated_terms: Iterable[StatedTerms], now: float) -> None:
        """Apply what another instance has got from upstreams."""
        for stated in stated_terms:
            self._apply_one(stated, now)

    def report_change(self, key: str, now: float = inf) -> None:
        """Call the listeners after a change that an upstream has stated.

        With ``now``, they get the remaining warm-up too.
        """
        self._notify(key, now, is_own=True)

    def stated(self) -> tuple[StatedTerms, ...]:
        """Return the terms of the upstreams that have stated some."""
        return tuple(
            _stated(key, started_at, terms)
            for key, (started_at, terms) in self.incarnations.items()
            if terms.is_leaving or terms.rate_limit is not None
        )

    def _apply_one(self, stated: StatedTerms, now: float) -> None:
        terms = self.terms_of(stated.key, stated.started_at)
        leaving = terms.is_leaving or stated.leaving
        is_extended = terms.warm_up.apply_stated(
            stated.warm_up.total_seconds(), now
        )
        is_same = (terms.rate_limit, terms.is_leaving) == (
            stated.rate_limit,
            leaving,
        )
        if is_same and not is_extended:
            return
        terms.apply_rate_limit(stated.rate_limit, now)
        terms.is_leaving = leaving
        self._notify(stated.key, now, is_own=False)

    def _keep(self, key: str, started_at: int, terms: UpstreamTerms) -> None:
        self.incarnations.pop(key, None)
        self.incarnations[key] = (started_at, terms)
        while len(self.incarnations) > MAX_INCARNATIONS:
            self.incarnations.pop(next(iter(self.incarnations)))

    def _notify(self, key: str, now: float, *, is_own: bool) -> None:
        incarnation = self.incarnations.get(key)
        if incarnation is None:
            return
        stated = _stated(key, *incarnation, now)
        for listener in self.on_change:
            listener(stated, is_own)


def _stated(
    key: str, started_at: int, terms: UpstreamTerms, now: float = inf
) -> StatedTerms:
    remaining = max(terms.warm_up.stated_until - now, 0)
    return StatedTerms(
        key,
        started_at,
        terms.rate_limit,
        terms.is_leaving,
        timedelta(seconds=remaining),
    )
