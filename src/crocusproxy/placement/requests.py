"""Requests to be placed, and the decisions about them."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from .concurrency import LoadSample
from .upstream_state import UpstreamState

#: Ratio of actual to expected service time of the shortest requests.
MIN_SERVICE_TIME_RATIO = 0.7
#: Ratio of actual to expected service time that few requests exceed, even on a
#: nearly full upstream.
SAFE_SERVICE_TIME_RATIO = 1.7


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that placement depends on.

    ``service_time`` is the expected duration at an upstream of the usual
    speed, in seconds. The response must arrive by ``deadline`` and should
    arrive by ``target_at``, both in monotonic seconds. ``excluded`` holds the
    keys of upstreams that have been tried.
    """

    priority: int
    service_time: float
    target_at: float
    deadline: float
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, eq=False)
class Placed:
    """The request is sent to ``upstream`` and holds a slot until released."""

    upstream: UpstreamState
    ticket: int
    sample: LoadSample


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused with the error ``code``."""

    code: str
    retry_after: timedelta


Decision = Placed | Refused


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request; ``on_decision`` is called once, with the decision."""

    request: PlacementRequest
    queued_at: float
    on_decision: Callable[[Decision], None]

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

    def rank(self, now: float) -> tuple[bool, int, bool, float]:
        """Return the sort key of the queue.

        Requests that cannot meet their target come last: a late response is
        worth little to its caller and would make others late. Within a
        priority, requests that will probably meet their target come before
        those that may miss it.
        """
        request = self.request
        may_miss_target = (
            now + SAFE_SERVICE_TIME_RATIO * request.service_time
            > request.target_at
        )
        is_late = not self.can_meet_target(now)
        return is_late, request.priority, may_miss_target, request.target_at
