"""Requests to be placed, and the decisions about them."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from .concurrency import LoadSample
from .upstream_state import UpstreamState

#: Ratio of actual to expected service time of the shortest requests.
MIN_SERVICE_TIME_RATIO = 0.7
#: Ratio of actual to expected service time that few requests exceed, even on a
#: nearly full upstream.
SAFE_SERVICE_TIME_RATIO = 1.7
#: The same relative to the present pace. With a larger one, no request counts
#: as safe where targets are short, and all miss theirs by a little.
SAFE_PACE_RATIO = 1.35
MIN_CHECK_INTERVAL_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that placement depends on.

    ``service_time`` is the expected duration at an upstream of the usual
    speed, in seconds. The response must arrive by ``deadline`` and should
    arrive by ``target_at``, both in monotonic seconds. ``excluded`` holds the
    keys of upstreams that have been tried. ``account`` is empty for requests
    without a client account, which are treated as those of one account.
    """

    priority: int
    service_time: float
    target_at: float
    deadline: float
    excluded: frozenset[str] = frozenset()
    account: str = ''


@dataclass(frozen=True, slots=True, eq=False)
class Placed:
    """The request is sent to ``upstream`` and holds a slot until released.

    A hedge is a second attempt of a request whose first one is in flight.
    ``paused_before`` is the sum of this process's pauses at the start.
    """

    upstream: UpstreamState
    ticket: int
    sample: LoadSample
    paused_before: float = 0
    is_hedge: bool = False

    def ended_at(
        self, now: float, paused_seconds: Callable[[], float]
    ) -> float:
        """Return when a request ended that is read to be complete at ``now``.

        ``paused_seconds`` returns the sum of this process's pauses. A response
        may have arrived early or late in a pause, so a request that was not
        slower than that counts as neither slow nor fast.
        """
        usual_end = self.sample.started_at + self.sample.usual_seconds
        if now <= usual_end:
            return now
        paused = paused_seconds() - self.paused_before
        return max(now - max(paused, 0), usual_end)


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused with the error ``code``."""

    code: str
    retry_after: timedelta


Decision = Placed | Refused


class Standing(IntEnum):
    """Whether a request will meet its target if it starts now."""

    IN_TIME = 0
    AT_RISK = 1
    LATE = 2


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request; ``on_decision`` is called once, with the decision.

    The other fields belong to the queue: ``sequence`` is the order of arrival;
    one that ``is_timely`` is expected to start in time for its target.
    """

    request: PlacementRequest
    queued_at: float
    on_decision: Callable[[Decision], None]
    sequence: int = 0
    standing: Standing = Standing.IN_TIME
    is_queued: bool = False
    is_timely: bool = False

    @property
    def account(self) -> str:
        """Return the client account."""
        return self.request.account

    @property
    def service_time(self) -> float:
        """Return the expected duration at the usual speed, in seconds."""
        return self.request.service_time

    @property
    def order_key(self) -> tuple[float, int]:
        """Return the sort key among the requests of an account."""
        return self.request.target_at, self.sequence

    @property
    def latest_start(self) -> float:
        """Return when the request can no longer meet its deadline."""
        return self.request.deadline - self.request.service_time

    def can_meet_target(self, now: float) -> bool:
        """Return whether the request can still meet its target."""
        return (
            now + MIN_SERVICE_TIME_RATIO * self.request.service_time
            <= self.request.target_at
        )

    def accepts(self, state: UpstreamState, now: float) -> bool:
        """Return whether an upstream is fast enough for this request.

        A request that can still meet its target is not sent to a slow upstream
        at which it would miss the target.
        """
        if not state.is_slow(now):
            return True
        request = self.request
        latest_end = (
            request.target_at if self.can_meet_target(now) else request.deadline
        )
        end = now + state.expected_time(request.service_time, now)
        return end <= latest_end

    def safe_until(self, pace: float) -> float:
        """Return until when a start will probably meet the target.

        ``pace`` is the ratio of actual to expected durations at present.
        """
        request = self.request
        ratio = max(SAFE_SERVICE_TIME_RATIO, SAFE_PACE_RATIO * pace)
        return request.target_at - ratio * request.service_time

    def possible_until(self, pace: float) -> float:
        """Return until when a start can meet the target."""
        request = self.request
        shortest = MIN_SERVICE_TIME_RATIO * pace * request.service_time
        return request.target_at - shortest

    def standing_at(self, now: float, pace: float) -> Standing:
        """Return the standing of the request.

        A late response is worth little to its caller, and would make others
        late.
        """
        if now > self.possible_until(pace):
            return Standing.LATE
        if now > self.safe_until(pace):
            return Standing.AT_RISK
        return Standing.IN_TIME

    def next_change(self, now: float, pace: float) -> float:
        """Return when the standing changes next, or the time runs out."""
        match self.standing:
            case Standing.IN_TIME:
                change = self.safe_until(pace)
            case Standing.AT_RISK:
                change = self.possible_until(pace)
            case _:
                change = self.latest_start
        # The pace may have become lower, so the time may be past.
        change = max(change, now + MIN_CHECK_INTERVAL_SECONDS)
        return min(change, self.latest_start)
