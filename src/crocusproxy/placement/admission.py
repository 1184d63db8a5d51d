"""Which requests may wait, and when refused callers should return.

Both are derived from the measured rate at which requests are served.
"""

from math import inf
from random import Random

from .decayed_rate import DecayedRate
from .fair_queue import FairQueue
from .requests import QueuedRequest
from .slot_counter import SlotCounter
from .stated_capacity import ReturnSchedule

#: Time over which the rate of ended requests is averaged.
RATE_SECONDS = 0.5
#: Share of the rate at the usual speed that is assumed at least: before a
#: burst, fewer requests end than the upstreams can serve.
MIN_RATE_SHARE = 0.5
#: Time for which requests must have waited before late ones are refused.
MIN_BACKLOG_SECONDS = 0.3
#: Longest remaining time for which the number of starts is forecast.
MAX_FORECAST_SECONDS = 1.0
#: Shortest time between two returning callers.
MIN_RETURN_INTERVAL_SECONDS = 0.001


class Admission:
    """Forecasts the turn of requests from the rate of ended requests."""

    def __init__(
        self, queue: FairQueue, slots: SlotCounter, random: Random
    ) -> None:
        self.queue = queue
        self.slots = slots
        self.ended = DecayedRate(RATE_SECONDS)
        self.schedule = ReturnSchedule(random, MIN_RETURN_INTERVAL_SECONDS)
        self.backlog_since = inf

    def watch_backlog(self, now: float) -> None:
        """Note since when requests have waited without a break."""
        if not self.queue:
            self.backlog_since = inf
        elif self.backlog_since == inf:
            self.backlog_since = now

    def rate(self, service_time: float, now: float) -> float:
        """Return the requests that are served per second."""
        usual = max(self.slots.count(now), 1) / service_time
        return max(self.ended.per_second(now), MIN_RATE_SHARE * usual)

    def is_timely(self, queued_request: QueuedRequest, now: float) -> bool:
        """Return whether a request will meet its target after its wait."""
        rate = self.rate(queued_request.service_time, now)
        start = now + self.queue.ahead_of(queued_request) / rate
        return start <= queued_request.safe_until(self.queue.pace)

    def will_expire(self, queued_request: QueuedRequest, now: float) -> bool:
        """Return whether a late request will probably expire in the queue."""
        remaining = queued_request.latest_start - now
        if remaining > MAX_FORECAST_SECONDS:
            return False
        if now - self.backlog_since < MIN_BACKLOG_SECONDS:
            return False
        priority = queued_request.request.priority
        if not self.queue.in_time_count():
            return False
        if self.queue.served.is_behind(priority):
            return False
        return self.queue.expected_late_starts(priority, remaining, now) < 0

    def return_delay(self, service_time: float, now: float) -> float:
        """Return the seconds after which a refused caller should return."""
        rate = self.rate(service_time, now)
        room_at = now + len(self.queue) / rate
        return self.schedule.next_return(room_at, rate) - now
