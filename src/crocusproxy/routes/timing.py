"""Estimates of the remaining and the service time of a route's requests."""

from dataclasses import dataclass
from datetime import timedelta

from .model import Route

#: Step of the estimated median of the service time, relative to the estimate.
SERVICE_TIME_STEP_SHARE = 0.04
#: Service time assumed before the first response, relative to the target
#: latency.
INITIAL_SERVICE_TIME_SHARE = 0.3
#: Network round trip between a caller and the system.
CALLER_ROUND_TRIP = timedelta(milliseconds=20)
#: A timeout counts for one to two such periods after its request. Callers that
#: use a longer one for a while would otherwise make every later request look
#: as if it had lost the difference on its way.
TIMEOUT_PERIOD_SECONDS = 60.0


@dataclass(slots=True)
class RecentMaximum:
    """The highest value of the current period and the one before.

    Times are monotonic seconds.
    """

    started_at: float
    current: float = 0
    previous: float = 0

    def update(self, value: float, now: float) -> float:
        """Add a value and return the maximum."""
        age = now - self.started_at
        if age >= TIMEOUT_PERIOD_SECONDS:
            is_recent = age < 2 * TIMEOUT_PERIOD_SECONDS
            self.previous = self.current if is_recent else 0
            self.current = 0
            self.started_at = now
        self.current = max(self.current, value)
        return max(self.current, self.previous)


class RouteTiming:
    """Estimates the remaining time and the service time of requests.

    The service time is the duration of a request at an upstream of the usual
    speed. A caller may send its remaining timeout. If this is shorter than the
    longest recent timeout on the route, the difference has passed before the
    request arrived: in a name lookup, a connect or an earlier attempt. Times
    are seconds.
    """

    def __init__(self) -> None:
        self.longest_timeouts: dict[str, RecentMaximum] = {}
        self.service_time_estimates: dict[str, float] = {}

    def seconds_to_target(
        self, route: Route, remaining_timeout: float | None, now: float
    ) -> float:
        """Return the seconds that remain to meet the target latency.

        ``remaining_timeout`` is in seconds, None if the caller sent none, and
        ``now`` in monotonic seconds.
        """
        target = route.target_latency.total_seconds()
        target -= CALLER_ROUND_TRIP.total_seconds()
        if remaining_timeout is None:
            return target
        recent = self.longest_timeouts.get(route.name)
        if recent is None:
            recent = RecentMaximum(now)
            self.longest_timeouts[route.name] = recent
        longest = recent.update(remaining_timeout, now)
        return target - (longest - remaining_timeout)

    def expected_service_time(self, route: Route) -> float:
        """Return the expected service time of a request in seconds."""
        initial = (
            INITIAL_SERVICE_TIME_SHARE * route.target_latency.total_seconds()
        )
        return self.service_time_estimates.get(route.name, initial)

    def record_duration(self, route: Route, seconds: float) -> None:
        """Update the estimate from a response of an otherwise idle upstream.

        The estimate follows the median, since slow phases of upstreams make
        the mean much larger.
        """
        estimate = self.expected_service_time(route)
        step = (
            SERVICE_TIME_STEP_SHARE
            if seconds > estimate
            else -SERVICE_TIME_STEP_SHARE
        )
        self.service_time_estimates[route.name] = estimate * (1 + step)

    def record_unfinished(self, route: Route, seconds: float) -> None:
        """Update the estimate from a request that was cancelled.

        It would have taken longer. Only if it already has taken longer than
        the estimate is it known on which side of the median it is.
        """
        if seconds > self.expected_service_time(route):
            self.record_duration(route, seconds)
