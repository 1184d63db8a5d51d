"""When upstreams will take requests, as far as they have stated it.

Answers a load beyond what all upstreams of a service say that they take:
requests wait only if their turn comes in time, and refused callers are told
to return when there is room, one after the other.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from .upstream_state import UpstreamState

#: Callers that are refused return within this time after there is room.
MAX_RETURN_SPREAD_SECONDS = 5.0
#: Time between returning callers if no rate limit says otherwise.
MIN_RETURN_INTERVAL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class StatedCapacity:
    """The next start that the upstreams permit, and the starts per second.

    ``next_start`` is in monotonic seconds. ``rate`` is infinite if an upstream
    without a limit takes requests from then on.
    """

    next_start: float
    rate: float

    def is_limited(self, now: float) -> bool:
        """Return whether no upstream takes any number of requests now."""
        return self.rate < inf or self.next_start > now

    def start_of(self, position: int) -> float:
        """Return the expected start of the request at a queue position."""
        return self.next_start + position / self.rate


def stated_capacity(
    upstreams: Iterable[UpstreamState], now: float
) -> StatedCapacity:
    """Return what the usable upstreams permit together."""
    next_start = inf
    rate = float()
    for state in upstreams:
        if not state.is_usable:
            continue
        start = state.terms.next_request_at(now)
        limiter = state.terms.limiter
        if limiter is not None:
            rate += limiter.rate
        elif start <= now:
            return StatedCapacity(now, inf)
        next_start = min(next_start, start)
    if next_start == inf:
        return StatedCapacity(now, inf)
    return StatedCapacity(next_start, rate or inf)


class ReturnSchedule:
    """Divides the times at which refused callers should return."""

    def __init__(
        self, random: Random, min_interval: float = MIN_RETURN_INTERVAL_SECONDS
    ) -> None:
        self.random = random
        self.min_interval = min_interval
        self.latest = -inf

    def next_return(self, earliest: float, rate: float) -> float:
        """Return when the next caller should return, in monotonic seconds.

        Callers return ``rate`` per second, from ``earliest`` on.
        """
        interval = max(1 / rate, self.min_interval)
        self.latest = max(self.latest, earliest) + interval
        if self.latest > earliest + MAX_RETURN_SPREAD_SECONDS:
            # More callers than there will be room for.
            spread = self.random.uniform(0, MAX_RETURN_SPREAD_SECONDS)
            self.latest = earliest + spread
        return self.latest
