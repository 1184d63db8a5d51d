"""Bounded queue of requests, fair to callers and ordered by deadline."""

from dataclasses import dataclass
from datetime import timedelta
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeAlias, TypeVar

from .fair_level import FairLevel, OrderKey
from .refusal import Refuse

QueuedItem = TypeVar('QueuedItem')

_MIN_RETRY_AFTER = timedelta(milliseconds=50)
_MAX_RETRY_AFTER = timedelta(seconds=10)
_INITIAL_POP_INTERVAL = timedelta(milliseconds=1)
_POP_GAIN = 0.1  # weight of the latest interval in the average
# With equal loads, a caller rarely queues over twice the mean of the others.
_TOLERATED_EXCESS = 2.0
#: All callers have equal shares.
_CALLER_WEIGHT = 1.0
#: Entries of requests that have left are dropped from the heap of deadlines
#: when it is longer than twice the queue and this number.
_MIN_HEAP_LENGTH = 64


@dataclass(slots=True, eq=False)
class QueueEntry(Generic[QueuedItem]):
    """A queued request; ``deadline`` is in monotonic time.

    ``account`` is the caller. ``order_key``, ``service_time`` and ``is_queued``
    are set by the queue only; ``service_time`` is 1, as durations are not
    known.
    """

    item: QueuedItem
    account: str
    deadline: timedelta
    order_key: OrderKey
    service_time: float = 1.0
    is_queued: bool = True


_DeadlineHeap: TypeAlias = list[tuple[OrderKey, QueueEntry[QueuedItem]]]


@dataclass(frozen=True, slots=True)
class _PopRate:
    """Average time between pops, without the times of an empty queue."""

    interval: timedelta = _INITIAL_POP_INTERVAL
    last_pop: timedelta | None = None

    def after_pop(self, now: timedelta, is_empty: bool) -> '_PopRate':
        """Return the rate after a pop; ``is_empty`` describes the queue."""
        interval = self.interval
        if self.last_pop is not None:
            interval += (now - self.last_pop - interval) * _POP_GAIN
        return _PopRate(interval, None if is_empty else now)


class CallerQueue(Generic[QueuedItem]):
    """Requests that wait at a home until an upstream has room.

    A home of a service is an instance that dispatches its requests. The
    earliest deadline comes first, except that a caller whose requests beyond
    the first are more than twice the mean number of requests of the others gets
    one request served in each round of the callers. A caller may queue at most
    ``per_caller`` requests, and at most as many as there are free places, so
    that its load neither displaces nor overtakes the requests of others.
    ``limit`` is the maximum length. Times are monotonic.
    """

    def __init__(self, limit: int, per_caller: int) -> None:
        self.limit = limit
        self.per_caller = per_caller
        self.level: FairLevel[QueueEntry[QueuedItem]] = FairLevel(
            _TOLERATED_EXCESS
        )
        self.by_deadline: _DeadlineHeap[QueuedItem] = []
        self.expired_items: list[QueuedItem] = []
        self.pop_rate = _PopRate()
        self.rate_before_pop = self.pop_rate
        self.sequence = count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.level)

    def push(
        self,
        item: QueuedItem,
        caller: str,
        deadline: timedelta,
        now: timedelta,
    ) -> Refuse | None:
        """Add a request, or return its refusal.

        It is also refused if its deadline has passed or would pass during the
        expected wait.
        """
        code = self._refusal_code(caller, deadline, now)
        if code:
            return Refuse(code, self.retry_after())
        order_key = (deadline.total_seconds(), next(self.sequence))
        entry = QueueEntry(item, caller, deadline, order_key)
        self.level.push(entry, _CALLER_WEIGHT)
        self._watch_deadline(entry)
        return None

    def pop(self, now: timedelta) -> QueueEntry[QueuedItem] | None:
        """Remove and return the next request whose deadline has not passed."""
        self._remove_expired(now)
        entry = self.level.take()
        if entry is not None:
            entry.is_queued = False
            self.rate_before_pop = self.pop_rate
            self.pop_rate = self.pop_rate.after_pop(now, not self.level)
        return entry

    def give_back(self, entry: QueueEntry[QueuedItem]) -> None:
        """Return the request that was popped last and could not be served.

        It is never refused, its caller is not charged, and the pop does not
        count in the measured rate.
        """
        entry.is_queued = True
        self.level.give_back(entry, _CALLER_WEIGHT)
        self._watch_deadline(entry)
        self.pop_rate = self.rate_before_pop

    def expired(self, now: timedelta) -> list[QueuedItem]:
        """Remove and return the requests whose deadline has passed."""
        self._remove_expired(now)
        expired = self.expired_items
        self.expired_items = []
        return expired

    def expected_wait(self) -> timedelta:
        """Return the estimated wait of a request that is pushed now."""
        return self.pop_rate.interval * len(self.level)

    def retry_after(self) -> timedelta:
        """Return the estimated time until the present queue is served."""
        return min(
            max(self.expected_wait(), _MIN_RETRY_AFTER), _MAX_RETRY_AFTER
        )

    def _refusal_code(
        self,
        caller: str,
        deadline: timedelta,
        now: timedelta,
    ) -> str:
        if deadline <= now:
            return 'deadline_passed'
        free = self.limit - len(self.level)
        if free <= 0:
            return 'queue_full'
        if self.level.count_of(caller) >= min(self.per_caller, free):
            return 'caller_over_limit'
        if now + self.expected_wait() > deadline:
            return 'queue_full'
        return ''

    def _watch_deadline(self, entry: QueueEntry[QueuedItem]) -> None:
        heappush(self.by_deadline, (entry.order_key, entry))
        if len(self.by_deadline) > 2 * len(self.level) + _MIN_HEAP_LENGTH:
            self.by_deadline = [(one.order_key, one) for one in self.level]
            heapify(self.by_deadline)

    def _remove_expired(self, now: timedelta) -> None:
        """Remove expired requests, which are not charged to their callers."""
        while self.by_deadline and self.by_deadline[0][1].deadline <= now:
            entry = heappop(self.by_deadline)[1]
            if entry.is_queued:
                entry.is_queued = False
                self.level.remove(entry)
                self.expired_items.append(entry.item)
