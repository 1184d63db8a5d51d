"""Refusals of requests that no upstream can serve in time."""

from datetime import timedelta
from math import inf
from random import Random

from .admission import Admission
from .fair_queue import FairQueue
from .requests import QueuedRequest, Refused
from .slot_counter import SlotCounter
from .stated_capacity import (
    ReturnSchedule,
    StatedCapacity,
    stated_capacity,
)
from .upstream_choice import UpstreamChoice

#: Queued requests per slot, apart from those that can wait for longer.
QUEUED_PER_SLOT = 2
#: Queued requests per slot, including those.
MAX_QUEUED_PER_SLOT = 10
MIN_QUEUE_LENGTH = 8
#: Number of queued requests from which the check against the upstreams' rate
#: limits, which looks at each of them, is made only now and then.
LONG_QUEUE_LENGTH = 16
#: Time between these checks of a long queue.
LIMIT_CHECK_SECONDS = 0.01

NO_UPSTREAM = Refused('no_upstream', timedelta(milliseconds=200))


class Refusals:
    """Refuses queued requests of one service.

    ``limits_checked_at`` is when the queue was last checked against the rate
    limits, in monotonic seconds.
    """

    def __init__(
        self,
        queue: FairQueue,
        admission: Admission,
        choice: UpstreamChoice,
        slots: SlotCounter,
        random: Random,
    ) -> None:
        self.queue = queue
        self.admission = admission
        self.choice = choice
        self.slots = slots
        self.return_schedule = ReturnSchedule(random)
        self.limits_checked_at = -inf

    def refuse_all(self, refused: Refused) -> None:
        """Refuse the queued requests."""
        for queued_request in tuple(self.queue):
            self.queue.remove(queued_request)
            queued_request.on_decision(refused)

    def refuse_excess(self, now: float) -> None:
        """Refuse what the upstreams' limits or the queue have no room for."""
        capacity = self._capacity(now)
        if capacity.is_limited(now):
            self._refuse_limited(capacity, now)
        slots = self.slots.count(now)
        limit = max(QUEUED_PER_SLOT * slots, MIN_QUEUE_LENGTH)
        longest = max(MAX_QUEUED_PER_SLOT * slots, MIN_QUEUE_LENGTH)
        while len(self.queue) > min(
            max(limit, self.queue.timely_count), longest
        ):
            self._refuse(self.queue.last(), capacity, now)

    def refuse_if_expiring(
        self, queued_request: QueuedRequest, now: float
    ) -> None:
        """Refuse a late request that would expire in the queue."""
        if self.admission.will_expire(queued_request, now):
            self.refuse(queued_request, now)

    def refuse_unplaceable(self, now: float) -> None:
        """Refuse the queued requests that no upstream is left for."""
        for queued_request in tuple(self.queue):
            if not self.choice.has_upstream(queued_request.request, now):
                self.queue.remove(queued_request)
                queued_request.on_decision(NO_UPSTREAM)

    def refuse(self, queued_request: QueuedRequest, now: float) -> None:
        """Refuse a queued request, with the time at which to return."""
        capacity = self._capacity(now)
        self._refuse(queued_request, capacity, now)

    def _capacity(self, now: float) -> StatedCapacity:
        index = self.choice.index
        index.refresh(now)
        return stated_capacity(index.usable, now)

    def _refuse(
        self,
        queued_request: QueuedRequest,
        capacity: StatedCapacity,
        now: float,
    ) -> None:
        self.queue.remove(queued_request)
        priority = queued_request.request.priority
        self.queue.served.count(priority, now, is_placed=False)
        if capacity.is_limited(now):
            code = 'upstreams_limited'
            returns_at = self.return_schedule.next_return(
                capacity.start_of(len(self.queue)), capacity.rate
            )
            delay = returns_at - now
        else:
            code = 'overloaded'
            delay = self.admission.return_delay(
                queued_request.service_time, now
            )
        queued_request.on_decision(Refused(code, timedelta(seconds=delay)))

    def _refuse_limited(self, capacity: StatedCapacity, now: float) -> None:
        """Refuse requests that the limits permit too late."""
        is_checked = now - self.limits_checked_at < LIMIT_CHECK_SECONDS
        if is_checked and len(self.queue) > LONG_QUEUE_LENGTH:
            return
        self.limits_checked_at = now
        position = 0
        for queued_request in tuple(self.queue):
            if capacity.start_of(position) >= queued_request.latest_start:
                self._refuse(queued_request, capacity, now)
            else:
                position += 1
