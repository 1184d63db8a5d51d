"""Limit of the requests to an upstream that is cold after a start.

A cold upstream fails at rates well above the one that it tolerates. It is cold
until the latest of the times that its entry, its health responses and its start
give.
"""

from dataclasses import dataclass
from math import inf
from typing import ClassVar

from ..limits.rate_limiter import RateLimiter
from .change_notifier import ChangeNotifier

#: An instance that begins to dispatch to an upstream sends it nothing for this
#: time while it is cold: the predecessor may not know yet, and may still use
#: the whole rate.
HANDOVER_SECONDS = 1.0
#: A cold upstream is preferred for one request after this time without any, as
#: others would otherwise take all of them at low load.
MAX_COLD_IDLE_SECONDS = 2.0
#: How long an upstream counts as cold that may have been restarted, until a
#: health response or its entry shows whether it was.
ASSUMED_COLD_SECONDS = 2.0
#: Shortest extension of a cold time that is passed on to other instances.
MIN_EXTENSION_SECONDS = 0.5
#: Share of the slack that is used for bursts; the rest is for requests sent
#: before this instance knew that the upstream was cold.
BURST_SLACK_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class WarmUpTolerance:
    """What the deployment permits beyond the rate that a service states.

    In any second a cold upstream may get ``overage`` times that rate and
    ``slack`` requests, from all instances together.
    """

    overage: float = 1
    slack: float = 0

    def limit(self, rate: float) -> float:
        """Return the rate to use, in requests per second."""
        return self.overage * rate

    def burst(self) -> float | None:
        """Return the tokens to keep, None for those of a plain rate limit."""
        return max(1, BURST_SLACK_SHARE * self.slack) if self.slack else None


@dataclass(slots=True)
class WarmUp(ChangeNotifier):
    """Warm-up of one incarnation of an upstream.

    ``rate`` is the number of requests per second that it tolerates while it is
    cold, 0 without limit, and ``burst`` the tokens that are kept for a burst.
    It is cold for ``seconds`` from ``listed_at`` on, when it was first listed
    while this instance was serving. ``stated_until`` is the latest end that it
    has stated. Until ``assumed_until`` it may be cold. The limit permits
    nothing before ``begins_at``. ``sent_at`` is when it last got a request.
    Times are monotonic seconds.
    """

    # These have no effect on the index: ``limiter`` and ``sent_at`` decide on
    # cold upstreams only, whose cost is not indexed.
    unwatched: ClassVar[frozenset[str]] = frozenset(
        ('on_change', 'is_listed', 'limiter', 'sent_at')
    )

    rate: float = 0
    seconds: float = 0
    burst: float | None = None
    is_listed: bool = False
    listed_at: float = -inf
    stated_until: float = -inf
    assumed_until: float = -inf
    begins_at: float = -inf
    sent_at: float = -inf
    limiter: RateLimiter | None = None

    def known_until(self) -> float:
        """Return when the cold time ends, apart from an assumed one."""
        return max(self.stated_until, self.listed_at + self.seconds)

    def cold_until(self) -> float:
        """Return when the upstream is no longer cold."""
        return max(self.known_until(), self.assumed_until)

    def is_cold(self, now: float) -> bool:
        """Return whether the limit applies."""
        return self.rate > 0 and now < self.cold_until()

    def is_due(self, now: float) -> bool:
        """Return whether a cold upstream has got no request for long."""
        is_idle = now - self.sent_at >= MAX_COLD_IDLE_SECONDS
        return self.rate > 0 and is_idle and self.is_cold(now)

    def configure(
        self,
        rate: float,
        seconds: float,
        now: float,
        burst: float | None = None,
    ) -> None:
        """Apply the settings of the service."""
        self.rate = rate
        self.seconds = seconds
        self.burst = burst
        if self.limiter is not None and rate:
            self.limiter.burst = burst
            self.limiter.change_rate(rate, now)

    def list_first(self, now: float, *, is_serving: bool) -> None:
        """Record the first listing.

        One that is listed before this instance serves may have run for long.
        """
        if is_serving and not self.is_listed:
            self.listed_at = now
        self.is_listed = True

    def apply_stated(self, remaining: float, now: float) -> bool:
        """Apply a remaining time; return whether it extends the known one."""
        until = now + remaining
        is_extended = self.rate > 0 and until > MIN_EXTENSION_SECONDS + max(
            now, self.known_until()
        )
        if remaining:
            self.stated_until = max(self.stated_until, until)
        return is_extended

    def assume_cold(self, now: float) -> None:
        """Treat the upstream as cold for now, as it may have restarted."""
        self.assumed_until = now + ASSUMED_COLD_SECONDS

    def end_assumption(self) -> None:
        """End the cold time that was only assumed."""
        self.assumed_until = -inf

    def hand_over(self, begins_at: float) -> None:
        """Restart the limiter at ``begins_at``, as this instance takes over."""
        self.begins_at = max(self.begins_at, begins_at)
        self.limiter = None

    def next_at(self, now: float) -> float:
        """Return when a request is permitted, ``now`` at the earliest."""
        if not self.rate:
            return now
        if not self.is_cold(now):
            self.limiter = None
            return now
        if self.limiter is None:
            begins_at = max(now, self.begins_at)
            self.limiter = RateLimiter(self.rate, begins_at, self.burst)
        next_at = max(self.limiter.next_at(now), self.begins_at)
        return min(next_at, self.cold_until())

    def count_request(self, now: float) -> None:
        """Count a request that is sent."""
        self.sent_at = now
        if self.limiter is not None:
            self.limiter.take(now)
