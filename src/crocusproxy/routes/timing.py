"""Estimates of the remaining time and the work of each route's requests."""

from datetime import timedelta

from .model import Route

#: Step of the estimated median, relative to the estimate.
WORK_STEP_SHARE = 0.04
#: Work assumed before the first response, relative to the target latency.
INITIAL_WORK_SHARE = 0.3
#: Network round trip between a caller and the system.
CALLER_ROUND_TRIP = timedelta(milliseconds=20)


class RouteTiming:
    """Estimates the remaining time and the work of requests.

    A caller may send its remaining wait. Its difference to the longest wait
    seen on the route has passed before the request arrived, for a name lookup,
    a connection or an earlier attempt.
    """

    def __init__(self) -> None:
        self.longest_wait: dict[str, float] = {}
        self.work_estimate: dict[str, float] = {}

    def seconds_to_target(self, route: Route, wait: float | None) -> float:
        """Return the seconds that remain to meet the target latency.

        ``wait`` is the caller's remaining wait in seconds, if known.
        """
        target = route.target_latency.total_seconds()
        target -= CALLER_ROUND_TRIP.total_seconds()
        if wait is None:
            return target
        longest = max(self.longest_wait.get(route.name, 0), wait)
        self.longest_wait[route.name] = longest
        return target - (longest - wait)

    def expected_work(self, route: Route) -> float:
        """Return the expected seconds of a request at the usual speed."""
        initial = INITIAL_WORK_SHARE * route.target_latency.total_seconds()
        return self.work_estimate.get(route.name, initial)

    def record_duration(self, route: Route, seconds: float) -> None:
        """Update the estimate from a response of an otherwise idle upstream.

        The estimate follows the median, since slow phases of upstreams make
        the mean much larger.
        """
        estimate = self.expected_work(route)
        step = WORK_STEP_SHARE if seconds > estimate else -WORK_STEP_SHARE
        self.work_estimate[route.name] = estimate * (1 + step)
