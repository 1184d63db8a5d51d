"""What is learned of each route's requests: their deadlines and their work."""

from datetime import timedelta

from .model import Route

#: Step of the estimated median, as a share of the estimate.
WORK_STEP = 0.04
#: Work before the first response, as a share of the target latency.
FIRST_WORK = 0.3
#: Time that the network between a caller and the system takes, both ways.
CALLER_ROUND_TRIP = timedelta(milliseconds=20)


class RouteTiming:
    """Estimates how much time requests have left and need.

    A caller tells how long it still waits. What is missing to the longest wait
    that was seen on the route has passed before the request arrived: the caller
    has looked for an address, connected, or tried before.
    """

    def __init__(self) -> None:
        self.longest: dict[str, float] = {}
        self.work: dict[str, float] = {}

    def target_left(self, route: Route, wait: float | None) -> float:
        """Return the seconds left to meet the target latency here.

        ``wait`` is the seconds that the caller still waits, if it tells.
        """
        target = route.target_latency.total_seconds()
        target -= CALLER_ROUND_TRIP.total_seconds()
        if wait is None:
            return target
        longest = max(self.longest.get(route.name, 0), wait)
        self.longest[route.name] = longest
        return target - (longest - wait)

    def expected_work(self, route: Route) -> float:
        """Return the seconds that a request takes at the usual speed."""
        first = FIRST_WORK * route.target_latency.total_seconds()
        return self.work.get(route.name, first)

    def record_duration(self, route: Route, seconds: float) -> None:
        """Learn from the response of an upstream that had nothing else to do.

        The estimate moves towards the median, since slow phases of upstreams
        make the mean much larger.
        """
        known = self.expected_work(route)
        step = WORK_STEP if seconds > known else -WORK_STEP
        self.work[route.name] = known * (1 + step)
