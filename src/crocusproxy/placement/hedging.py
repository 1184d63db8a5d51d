"""Decisions about hedges: a second attempt of a request that takes long.

A hedge helps if the first upstream is slow, and not if the request itself is.
The two look alike from outside, so hedges are bounded by a share of the
requests and are sent only where they take no capacity from other requests.
"""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from ddsketch import DDSketch

#: Quantile of the durations of a route at which a request is hedged.
HEDGE_QUANTILE = 0.95
MEDIAN_QUANTILE = 0.5
#: Number of durations from which the quantiles of a route are known.
MIN_SAMPLES = 100
RELATIVE_ACCURACY = 0.01
#: Age at which a sketch is replaced; the one before is used for as long again.
ROTATION_SECONDS = 30.0
#: Quantiles are computed again after this time.
REFRESH_SECONDS = 0.5
#: Parts of the window in which requests are counted. Those of the part that
#: leaves the window are not counted any more, which bounds the error.
WINDOW_PARTS = 50


class NotSent(StrEnum):
    """Why a request that takes long has no hedge."""

    attempts = 'attempts'
    too_late = 'too_late'
    suspected = 'suspected'
    queue = 'queue'
    slots = 'slots'
    share = 'share'
    budget = 'budget'
    no_upstream = 'no_upstream'
    ended = 'ended'


@dataclass(frozen=True, slots=True)
class DurationQuantiles:
    """The median duration and the age at which a hedge is sent, in seconds."""

    median: float
    hedge_delay: float


class RouteDurations:
    """Distribution of the recent durations of a route's requests.

    Two sketches rotate, so that old durations lose their influence. Times are
    monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.current = DDSketch(RELATIVE_ACCURACY)
        self.previous = DDSketch(RELATIVE_ACCURACY)
        self.known: DurationQuantiles | None = None
        self.refresh_at = now

    def record(self, seconds: float, now: float) -> None:
        """Add the duration of an attempt.

        For an attempt that was cancelled for its hedge, this is its age. As
        that is above the delay, the quantiles remain those without hedges.
        """
        if self._may_rotate(now):
            self.previous = self.current
            self.current = DDSketch(RELATIVE_ACCURACY)
            self.started_at = now
        self.current.add(seconds)

    def quantiles(self, now: float) -> DurationQuantiles | None:
        """Return the quantiles, None until there are enough durations."""
        if now >= self.refresh_at:
            self.refresh_at = now + REFRESH_SECONDS
            self.known = self._compute()
        return self.known

    def _may_rotate(self, now: float) -> bool:
        # Rare requests need longer for enough durations.
        return (
            now - self.started_at >= ROTATION_SECONDS
            and self.current.count >= MIN_SAMPLES
        )

    def _compute(self) -> DurationQuantiles | None:
        merged = DDSketch(RELATIVE_ACCURACY)
        merged.merge(self.previous)
        merged.merge(self.current)
        if merged.count < MIN_SAMPLES:
            return None
        return DurationQuantiles(
            _quantile(merged, MEDIAN_QUANTILE),
            _quantile(merged, HEDGE_QUANTILE),
        )


def _quantile(sketch: DDSketch, quantile: float) -> float:
    duration = sketch.get_quantile_value(quantile)
    # Only an empty sketch has no quantiles.
    assert duration is not None
    return duration


@dataclass(slots=True)
class _WindowPart:
    starts_at: float
    ends_at: float
    request_count: int = 0


class ExtraRequestLimit:
    """Bounds the hedges of a service to ``share`` of its requests.

    In each window of ``window`` seconds that ends with a hedge, the hedges are
    at most that share of the requests. The work per request is constant.
    """

    def __init__(self, share: float, window: float) -> None:
        self.share = share
        self.window = window
        self.part_seconds = window / WINDOW_PARTS
        self.parts: deque[_WindowPart] = deque()
        self.request_count = 0
        self.hedge_times: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller at monotonic second ``now``."""
        if not self.parts or now >= self.parts[-1].ends_at:
            self._forget(now)
            self.parts.append(_WindowPart(now, now + self.part_seconds))
        self.parts[-1].request_count += 1
        self.request_count += 1

    def permits_hedge(self, now: float) -> bool:
        """Return whether one more hedge is within the limit."""
        self._forget(now)
        permitted = self.share * self.request_count
        return len(self.hedge_times) + 1 <= permitted

    def count_hedge(self, now: float) -> None:
        """Count a hedge."""
        self.hedge_times.append(now)

    def _forget(self, now: float) -> None:
        earliest = now - self.window
        while self.parts and self.parts[0].starts_at <= earliest:
            self.request_count -= self.parts.popleft().request_count
        while self.hedge_times and self.hedge_times[0] <= earliest:
            self.hedge_times.popleft()


@dataclass(frozen=True, slots=True)
class SlowRequest:
    """What the decision about a hedge depends on.

    ``left_attempts`` is the number of further upstreams that the request may
    be sent to, ``left_seconds`` the time until its target or deadline. A
    request is ``is_suspect`` if it was in flight at the crash of an upstream.
    """

    left_attempts: int
    left_seconds: float
    median_seconds: float
    is_suspect: bool


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Whether requests of the service wait, and whether it has spare slots."""

    has_queue: bool
    has_spare_slots: bool


def reason_against_hedge(
    request: SlowRequest, load: ServiceLoad
) -> NotSent | None:
    """Return why no hedge may be sent, or None; limits are not checked."""
    if request.left_attempts < 1:
        return NotSent.attempts
    if request.left_seconds < request.median_seconds:
        return NotSent.too_late
    if request.is_suspect:
        return NotSent.suspected
    if load.has_queue:
        return NotSent.queue
    return None if load.has_spare_slots else NotSent.slots
