"""Bounded queue of requests, ordered by deadline and fair to callers."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeAlias, TypeVar

from .refusal import Refuse

QueuedItem = TypeVar('QueuedItem')

_MIN_RETRY_AFTER = timedelta(milliseconds=50)
_MAX_RETRY_AFTER = timedelta(seconds=10)
_INITIAL_POP_INTERVAL = timedelta(milliseconds=1)
_POP_GAIN = 0.1  # weight of the latest interval in the average
# With equal loads, a caller rarely queues over twice the mean of the others.
_FAIR_SHARE_FACTOR = 2


@dataclass(slots=True, eq=False)
class _Entry(Generic[QueuedItem]):
    item: QueuedItem
    caller: str
    deadline: timedelta


_HeapEntry: TypeAlias = tuple[timedelta, int, _Entry[QueuedItem]]


class DeadlineQueue(Generic[QueuedItem]):
    """Requests that wait at a home until an upstream has room.

    A home of a service is an instance that dispatches its requests. The
    earliest deadline comes first. The nth request of a caller beyond its fair
    share is ranked as if its deadline were n rounds later; in one round, each
    queued caller gets one request served. A caller may queue at most
    ``per_caller`` requests, and at most as many as there are free places, so
    that its load neither displaces nor overtakes the requests of others.
    ``limit`` is the maximum length. Times are monotonic.
    """

    def __init__(self, limit: int, per_caller: int) -> None:
        self.limit = limit
        self.per_caller = per_caller
        self.pop_interval = _INITIAL_POP_INTERVAL
        self.last_pop: timedelta | None = None
        self.queued_by_caller: Counter[str] = Counter()
        self.heap: list[_HeapEntry[QueuedItem]] = []
        self.expired_items: list[QueuedItem] = []
        # Lower bound of the deadlines in the queue.
        self.earliest_deadline = timedelta.max
        self.sequence = count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.heap)

    def push(
        self,
        item: QueuedItem,
        caller: str,
        deadline: timedelta,
        now: timedelta | None = None,
    ) -> Refuse | None:
        """Add a request, or return its refusal.

        With ``now``, a request is also refused if its deadline has passed or
        would pass during the expected wait.
        """
        code = self._refusal_code(caller, deadline, now)
        if code:
            return Refuse(code, self.retry_after())
        self.queued_by_caller[caller] += 1
        self.earliest_deadline = min(self.earliest_deadline, deadline)
        rank = deadline + self._fairness_delay(caller)
        entry = _Entry(item, caller, deadline)
        heappush(self.heap, (rank, next(self.sequence), entry))
        return None

    def pop(self, now: timedelta) -> QueuedItem | None:
        """Remove and return the next request whose deadline has not passed."""
        while self.heap:
            entry = heappop(self.heap)[2]
            self._uncount(entry)
            if entry.deadline > now:
                self._update_pop_interval(now)
                return entry.item
            self.expired_items.append(entry.item)
        return None

    def expired(self, now: timedelta) -> list[QueuedItem]:
        """Remove and return the requests whose deadline has passed."""
        expired = self.expired_items
        self.expired_items = []
        if now < self.earliest_deadline:
            return expired
        entries = self.heap
        self.heap = [
            heap_entry for heap_entry in entries if heap_entry[2].deadline > now
        ]
        heapify(self.heap)
        self.earliest_deadline = min(
            (heap_entry[2].deadline for heap_entry in self.heap),
            default=timedelta.max,
        )
        for _, _, entry in entries:
            if entry.deadline <= now:
                self._uncount(entry)
                expired.append(entry.item)
        return expired

    def expected_wait(self) -> timedelta:
        """Return the estimated wait of a request that is pushed now."""
        return self.pop_interval * len(self.heap)

    def retry_after(self) -> timedelta:
        """Return the estimated time until the present queue is served."""
        return min(
            max(self.expected_wait(), _MIN_RETRY_AFTER), _MAX_RETRY_AFTER
        )

    def _refusal_code(
        self,
        caller: str,
        deadline: timedelta,
        now: timedelta | None,
    ) -> str:
        if now is not None and deadline <= now:
            return 'deadline_passed'
        free = self.limit - len(self.heap)
        if free <= 0:
            return 'queue_full'
        if self.queued_by_caller.get(caller, 0) >= min(self.per_caller, free):
            return 'caller_over_limit'
        if now is not None and now + self.expected_wait() > deadline:
            return 'queue_full'
        return ''

    def _fairness_delay(self, caller: str) -> timedelta:
        """Return the time of one round per request beyond the fair share."""
        queued = self.queued_by_caller[caller]
        others = len(self.queued_by_caller) - 1
        mean = (len(self.heap) + 1 - queued) / others if others else 0
        excess = max(queued - 1 - round(_FAIR_SHARE_FACTOR * mean), 0)
        return self.pop_interval * (excess * len(self.queued_by_caller))

    def _uncount(self, entry: _Entry[QueuedItem]) -> None:
        if self.queued_by_caller[entry.caller] > 1:
            self.queued_by_caller[entry.caller] -= 1
        else:
            self.queued_by_caller.pop(entry.caller)

    def _update_pop_interval(self, now: timedelta) -> None:
        """Average the time between pops, excluding times of an empty queue."""
        if self.last_pop is not None:
            elapsed = now - self.last_pop
            self.pop_interval += (elapsed - self.pop_interval) * _POP_GAIN
        self.last_pop = now if self.heap else None
