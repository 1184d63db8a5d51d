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
    without a limit takes requests from then on. One whose limit ends at
    ``unlimited_at`` takes any number from then on.
    """

    next_start: float
    rate: float
    unlimited_at: float = inf

    def is_limited(self, now: float) -> bool:
        """Return whether no upstream takes any number of requests now."""
        return self.rate < inf or self.next_start > now

    def start_of(self, position: int) -> float:
        """Return the expected start of the request at a queue position."""
        return min(self.next_start + position / self.rate, self.unlimited_at)


def stated_capacity(
    upstreams: Iterable[UpstreamState], now: float
) -> StatedCapacity:
    """Return what the usable upstreams permit together."""
    usable: list[UpstreamState] = []
    for state in upstreams:
        if state.is_usable:
            if _takes_any_number(state, now):
                # The usual case, for which the others need not be examined.
                return StatedCapacity(now, inf)
            usable.append(state)
    if not usable:
        return StatedCapacity(now, inf)
    rate = sum(state.terms.lowest_rate(now) or 0 for state in usable)
    return StatedCapacity(
        min(state.terms.next_request_at(now) for state in usable),
        rate or inf,
        min(_unlimited_at(state, now) for state in usable),
    )


def _takes_any_number(state: UpstreamState, now: float) -> bool:
    is_unlimited = state.terms.lowest_rate(now) is None
    return is_unlimited and state.terms.next_request_at(now) <= now


def _unlimited_at(state: UpstreamState, now: float) -> float:
    """Return when the warm-up that limits an upstream ends."""
    terms = state.terms
    if terms.rate_limit is not None or not terms.warm_up.is_cold(now):
        return inf
    return max(terms.next_request_at(now), terms.warm_up.cold_until())


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
